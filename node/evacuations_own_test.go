package node_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/schema/tinladder/v1/tinladderv1connect"
)

// hallServers starts targets of one hall, in the form that documents name them, and counts their requests.
func hallServers(t *testing.T, hall string, count int) (targets []*tlv1.Target, arrived *atomic.Int64) {
	t.Helper()
	arrived = &atomic.Int64{}
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) })}
		go func() { _ = s.Serve(l) }()
		t.Cleanup(func() { _ = s.Close() })
		targets = append(targets, &tlv1.Target{Id: fmt.Sprint(hall, "-", i), Address: l.Addr().String(), Slots: 4, Hall: hall})
	}
	return targets, arrived
}

// hallDocument returns a document that evacuates or restores the hall and replaces the given version.
func hallDocument(hall string, evacuated bool, version uint64) *tlv1.Document {
	return &tlv1.Document{
		Key: "hall/" + hall, Version: version, Body: &tlv1.Document_Hall{Hall: &tlv1.Hall{Name: hall, Evacuated: evacuated}},
	}
}

// change applies the document with the operator's token and returns its new version.
func (f *fleet) change(token string, d *tlv1.Document) (uint64, error) {
	c := tinladderv1connect.NewOperatorServiceClient(f.http, "http://"+f.nodes[0].operators)
	r := connect.NewRequest(&tlv1.ApplyRequest{Document: d, ChangeId: fmt.Sprintf("%s-%d", d.GetBody().(*tlv1.Document_Hall).Hall.GetName(), d.GetVersion())})
	r.Header().Set("Authorization", "Bearer "+token)
	res, err := c.Apply(context.Background(), r)
	if err != nil {
		return 0, err
	}
	return res.Msg.GetChange().GetSeq(), nil
}

// TestOperatorsEvacuateAHall evacuates a hall through the fleet's own interface. Its targets get no more requests from any
// node, including one that starts afterwards, until the hall is restored. A workspace's operator cannot evacuate a hall.
func TestOperatorsEvacuateAHall(t *testing.T) {
	is := is.New(t)
	f, _ := newFragileFleet(t)
	near, inHall := hallServers(t, "h0", 3)
	far, elsewhere := hallServers(t, "h1", 3)
	f.apply(&tlv1.Document{Key: "svc/tuul/more", Body: &tlv1.Document_Service{Service: &tlv1.Service{
		Workspace: "tuul", Name: "more", Profile: tlv1.Profile_PROFILE_QUICK, Targets: append(near, far...),
		Routes: []*tlv1.Route{{PathPrefix: "/more/", Repeat: tlv1.Repeat_REPEAT_ALLOWED, DeadlineMs: 2000}},
	}}})
	press := func(long time.Duration) {
		for i, end := 0, time.Now().Add(long); time.Now().Before(end); i++ {
			if status := f.askOwn(f.nodes[i%3], "/more/a"); status != http.StatusOK {
				t.Errorf("%d from %s", status, f.nodes[i%3].name)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	for _, n := range f.nodes {
		f.eventually(n.name+" serves", func() bool { return f.askOwn(n, "/more/warm") == http.StatusOK })
	}
	press(200 * time.Millisecond)
	is.True(inHall.Load() > 0)

	_, err := f.change("tuul.operator", hallDocument("h0", true, 0))
	is.Equal(connect.CodeOf(err), connect.CodeNotFound)
	version, err := f.change(adminToken, hallDocument("h0", true, 0))
	is.NoErr(err)
	press(evacuationTimeout)
	last := f.nodes[2]
	last.stop()
	<-last.node.Done()
	f.start(last)
	f.eventually("it serves again", func() bool { return f.askOwn(last, "/more/warm") == http.StatusOK })
	was := inHall.Load()
	press(time.Second)
	is.Equal(inHall.Load(), was) // the evacuated hall got nothing
	is.True(elsewhere.Load() > 0)

	_, err = f.change(adminToken, hallDocument("h0", false, version))
	is.NoErr(err)
	press(evacuationTimeout)
	is.True(inHall.Load() > was) // the restored hall works again
}
