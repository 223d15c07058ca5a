package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

func TestQuarantineIsListed(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr((&output{w: &out}).quarantine(&tlv1.QuarantineResponse{Requests: []*tlv1.Quarantined{
		{Print: "0a1b", KnownBy: "request", Service: "tuul/desk", What: "GET shop/a", Targets: []string{"t1", "t2", "t3"}, Held: true, Trials: 1, AgeMs: 4_200, TrialMs: 15_800},
		{Print: "2c3d", KnownBy: "caller", Service: "tuul/desk", What: "GET shop/b", Targets: []string{"t1"}, AgeMs: 900},
	}}))
	lines := strings.Split(out.String(), "\n")
	is.True(strings.Contains(lines[1], "held") && strings.Contains(lines[1], "t1,t2,t3") && strings.Contains(lines[1], "in 16s"))
	is.True(strings.Contains(lines[2], "suspected") && !strings.Contains(lines[2], "in "))
}
