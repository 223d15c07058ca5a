package settings_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/settings"
)

const validSettings = `
[node]
name = "n1"
hall = "h1"
peers = "127.0.0.1:7002"
callers = "127.0.0.1:7003"
operators = "[::1]:7004"
[store]
address = "127.0.0.1:7000"
[fleet]
seeds = ["127.0.0.1:7011"]
keys = ["00112233445566778899aabbccddeeff"]
[operators]
admin_token_sha256 = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
`

func TestValidSettings(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse(validSettings)
	is.NoErr(err)
	is.Equal(s.Bounds.Grace.Millis(), 6*clock.Second)
	is.Equal(s.Node.PeersAddress(), "127.0.0.1:7002")
	is.Equal(len(s.Fleet.KeyBytes()[0]), 16)
	is.True(s.Limits.Requests > 0)
}

func TestMechanismsCanBeSwitchedOff(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse(validSettings + "\n[trial]\noff = [\"hedge\", \"bytes\"]\n")
	is.NoErr(err)
	is.Equal(s.Trial.Off, []string{"hedge", "bytes"})
}

func TestErrorNamesEachInvalidKey(t *testing.T) {
	cases := []struct{ old, spoiled, named string }{
		{`name = "n1"`, `name = "n/1"`, "node.name"},
		{`hall = "h1"`, ``, "node.hall"},
		{`callers = "127.0.0.1:7003"`, `callers = "host:7001"`, "node.callers"},
		{`peers = "127.0.0.1:7002"`, `peers = "127.0.0.1"`, "node.peers"},
		{`operators = "[::1]:7004"`, `operators = "[::1]:0"`, "node.operators"},
		{`hall = "h1"`, "hall = \"h1\"\nreadiness = \"x\"", "node.readiness"},
		{`hall = "h1"`, "hall = \"h1\"\ncolour = 1", "node.colour: no such key"},
		{`hall = "h1"`, "hall = \"h1\"\nadvertise_peers = \"x\"", "node.advertise_peers"},
		{`address = "127.0.0.1:7000"`, ``, "store.address"},
		{`address = "127.0.0.1:7000"`, "address = \"127.0.0.1:7000\"\nembedded = true", "store.address"},
		{`[operators]`, "[bounds]\ngrace = \"0s\"\n[operators]", "bounds.grace"},
		{`[operators]`, "[bounds]\ngrace = \"6\"\n[operators]", "grace"},
		{`[operators]`, "[retries]\nratio = nan\n[operators]", "retries"},
		{`keys = ["00112233445566778899aabbccddeeff"]`, `keys = ["0011"]`, "fleet.keys[0]"},
		{`seeds = ["127.0.0.1:7011"]`, `seeds = ["x"]`, "fleet.seeds[0]"},
		{`admin_token_sha256 = "e3b0`, `admin_token_sha256 = "zz`, "operators.admin_token_sha256"},
		{`[operators]`, "[limits]\nrequests = 0\n[operators]", "limits.requests"},
		{`name = "n1"`, `name = 1`, "name"},
	}
	for _, c := range cases {
		t.Run(c.named, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validSettings, c.old, c.spoiled, 1)
			is.True(text != validSettings)
			_, err := settings.Parse(text)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.named))
		})
	}
}

func TestErrorNamesAllInvalidKeys(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse("")
	is.True(err != nil)
	for _, key := range []string{"node.name", "node.hall", "node.peers", "store.address"} {
		is.True(strings.Contains(err.Error(), key))
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Add("[node")
	f.Fuzz(func(_ *testing.T, text string) {
		if s, err := settings.Parse(text); err == nil {
			_ = s.Fleet.KeyBytes()
		}
	})
}
