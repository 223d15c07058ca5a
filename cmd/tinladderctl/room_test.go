package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// TestRoomIsListed guards against a list that leaves out who holds the room, whom a service admits, or why retries were denied.
func TestRoomIsListed(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr((&output{w: &out}).room(&tlv1.RoomResponse{
		Services: []*tlv1.ServiceRoom{{
			Service: "desk", InFlight: 9, Waiting: 4, Admitted: 0.6, Level: 2, Fraction: 0.25,
			Retries: 5, Denied: 8, DeniedForOrder: 7, DeniedByRank: []*tlv1.DeniedRetries{{Priority: 1, Loss: "late", Count: 7}},
			Holders: []*tlv1.RoomHolder{{Workspace: "tuul", InFlight: 6, Waiting: 4, Share: 4.5}},
			Slow:    []*tlv1.TargetTime{{Target: "t7", Slower: 2.31}},
		}, {Service: "calm", Admitted: 1}},
		Limits: []*tlv1.LimitUse{{Workspace: "tuul", PerSecond: 328, Used: 10, Refused: 2, Available: 1.5}},
	}))
	lines := strings.Split(out.String(), "\n")
	is.Equal(len(lines), 9) // a heading, and what ends the last line
	for i, want := range []string{"0.25 of priority 2", "7 of them for more urgent ones (priority 1 late 7)", "share 4.5", "2.3 times", "all admitted", "0 denied", "328/s"} {
		is.True(strings.Contains(lines[i+1], want)) // line by line
	}
}
