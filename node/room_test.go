package node_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/schema/tinladder/v1/tinladderv1connect"
)

// TestOperatorSeesTheRoomOfServices guards against an operator who cannot see whom a service admits, and against one without
// a token who can.
func TestOperatorSeesTheRoomOfServices(t *testing.T) {
	is := is.New(t)
	sum := sha256.Sum256([]byte(adminToken))
	f := startFleet(t, 1, &fleet{operated: true, via: func(s string) string { return s }, extraSettings: func(int) string {
		return fmt.Sprintf("[operators]\nadmin_token_sha256 = %q\n[balance]\nfair_shares = true\nurgency_level = true\nretry_order = true\n", hex.EncodeToString(sum[:]))
	}})
	f.calm(1)
	f.target("i-1", "desk")
	f.store.Configure(3, []string{"desk"}, route("/desk/", standin.Repeatable, "desk"))
	f.ready(3, 1)
	is.Equal(f.call(f.nodes[0], http.MethodGet, "/desk/a", "q1", "").status, http.StatusOK)
	c := tinladderv1connect.NewOperatorServiceClient(f.http, "http://"+f.nodes[0].operators)
	_, err := c.Room(context.Background(), connect.NewRequest(&tlv1.RoomRequest{}))
	is.Equal(connect.CodeOf(err), connect.CodeUnauthenticated)
	req := connect.NewRequest(&tlv1.RoomRequest{})
	req.Header().Set("Authorization", "Bearer "+adminToken)
	res, err := c.Room(context.Background(), req)
	is.NoErr(err)
	is.Equal(len(res.Msg.GetServices()), 1)
	s := res.Msg.GetServices()[0]
	is.Equal(s.GetService(), "desk")
	is.Equal(s.GetAdmitted(), 1.0)
	is.Equal(int(s.GetWaiting()), 0)
}
