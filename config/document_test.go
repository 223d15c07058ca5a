package config_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/config"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"google.golang.org/protobuf/proto"
)

func validService() *tlv1.Service {
	return &tlv1.Service{
		Workspace: "w", Name: "s", FloorSlots: 3,
		Targets: []*tlv1.Target{{Id: "t1", Address: "10.0.0.1:80", Slots: 3}, {Id: "t2", Address: "[::1]:80", Slots: 2}},
		Routes:  []*tlv1.Route{{PathPrefix: "/", Repeat: tlv1.Repeat_REPEAT_ALLOWED, Retries: 2}},
	}
}

func TestCheckNamesTheFieldThatIsWrong(t *testing.T) {
	cases := []struct {
		want   string
		spoils func(*tlv1.Service)
	}{
		{"", func(*tlv1.Service) {}},
		{"workspace", func(s *tlv1.Service) { s.Workspace = "a/b" }},
		{"name", func(s *tlv1.Service) { s.Name = ".." }},
		{"targets[1].id", func(s *tlv1.Service) { s.Targets[1].Id = "t1" }},
		{"targets[0].address", func(s *tlv1.Service) { s.Targets[0].Address = "host:80" }},
		{"targets[0].slots", func(s *tlv1.Service) { s.Targets[0].Slots = 0 }},
		{"floor_slots", func(s *tlv1.Service) { s.FloorSlots = 6 }},
		{"path_prefix", func(s *tlv1.Service) { s.Routes[0].PathPrefix = "x" }},
		{"braces", func(s *tlv1.Service) { s.Routes[0].PathPrefix = "/{a" }},
		{"repeat", func(s *tlv1.Service) { s.Routes[0].Repeat = 0 }},
		{"run-once requests have none", func(s *tlv1.Service) { s.Routes[0].Repeat = tlv1.Repeat_REPEAT_ONCE }},
		{"deadline_ms", func(s *tlv1.Service) { s.Routes[0].DeadlineMs = -1 }},
		{"nodes", func(s *tlv1.Service) { s.Nodes = 1000 }},
	}
	for _, c := range cases {
		t.Run(c.want, func(t *testing.T) {
			is := is.New(t)
			s := validService()
			c.spoils(s)
			d := &tlv1.Document{Body: &tlv1.Document_Service{Service: s}}
			key, err := config.KeyOf(d)
			is.NoErr(err)
			d.Key = string(key)
			err = config.Check(d)
			if c.want == "" {
				is.NoErr(err)
				return
			}
			is.True(errors.Is(err, config.ErrInvalid))
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

func FuzzCheck(f *testing.F) {
	b, _ := proto.Marshal(&tlv1.Document{Key: "svc/w/s", Body: &tlv1.Document_Service{Service: validService()}})
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		d := &tlv1.Document{}
		if proto.Unmarshal(b, d) == nil && config.Check(d) == nil {
			_ = config.Nodes(d.GetService())
		}
	})
}
