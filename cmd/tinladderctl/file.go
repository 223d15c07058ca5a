package main

import (
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/config"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// A file is what operators write: the wanted state of workspaces and services.
type file struct {
	Workspaces []workspaceFile `toml:"workspace"`
	Services   []serviceFile   `toml:"service"`
}

type workspaceFile struct {
	Name           string   `toml:"name"`
	OperatorTokens []string `toml:"operator_tokens_sha256"`
	CallerTokens   []string `toml:"caller_tokens_sha256"`
	Concurrency    uint32   `toml:"concurrency"`
}

type serviceFile struct {
	Workspace  string       `toml:"workspace"`
	Name       string       `toml:"name"`
	Profile    string       `toml:"profile"`
	FloorSlots uint32       `toml:"floor_slots"`
	Nodes      uint32       `toml:"nodes"`
	Queue      uint32       `toml:"queue"`
	Targets    []targetFile `toml:"target"`
	Routes     []routeFile  `toml:"route"`
}

type targetFile struct {
	ID      string `toml:"id"`
	Address string `toml:"address"`
	Slots   uint32 `toml:"slots"`
	Hall    string `toml:"hall"`
	Leaving bool   `toml:"leaving"`
}

type routeFile struct {
	Host        string   `toml:"host"`
	PathPrefix  string   `toml:"path_prefix"`
	Methods     []string `toml:"methods"`
	Repeat      string   `toml:"repeat"`
	DeadlineMs  int64    `toml:"deadline_ms"`
	Retries     uint32   `toml:"retries"`
	KeyOptional bool     `toml:"key_optional"`
}

var profiles = map[string]tlv1.Profile{
	"":        tlv1.Profile_PROFILE_CAREFUL,
	"careful": tlv1.Profile_PROFILE_CAREFUL,
	"quick":   tlv1.Profile_PROFILE_QUICK,
}

var repeats = map[string]tlv1.Repeat{
	"allowed": tlv1.Repeat_REPEAT_ALLOWED,
	"once":    tlv1.Repeat_REPEAT_ONCE,
}

// documentsIn reads a file, and names every unknown key and every bad value.
func documentsIn(text string) (docs []*tlv1.Document, err error) {
	f := file{}
	meta, err := toml.Decode(text, &f)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		names := make([]string, len(unknown))
		for i, k := range unknown {
			names[i] = k.String()
		}
		return nil, errors.Newf("no such key: %s", strings.Join(names, ", "))
	}
	for i, w := range f.Workspaces {
		d, err := w.document()
		if err != nil {
			return nil, errors.Wrapf(err, "workspace[%d]", i)
		}
		docs = append(docs, d)
	}
	for i, s := range f.Services {
		d, err := s.document()
		if err != nil {
			return nil, errors.Wrapf(err, "service[%d]", i)
		}
		docs = append(docs, d)
	}
	return docs, nil
}

// keyed gives the document its key and checks it.
func keyed(d *tlv1.Document) (*tlv1.Document, error) {
	k, err := config.KeyOf(d)
	if err != nil {
		return nil, err
	}
	d.Key = string(k)
	return d, config.Check(d)
}

func (w workspaceFile) document() (*tlv1.Document, error) {
	operators, err := hashes(w.OperatorTokens)
	if err != nil {
		return nil, errors.Wrap(err, "operator_tokens_sha256")
	}
	callers, err := hashes(w.CallerTokens)
	if err != nil {
		return nil, errors.Wrap(err, "caller_tokens_sha256")
	}
	return keyed(&tlv1.Document{Body: &tlv1.Document_Workspace{Workspace: &tlv1.Workspace{
		Name: w.Name, TokenSha256: operators, CallerTokenSha256: callers, Concurrency: w.Concurrency,
	}}})
}

func hashes(list []string) ([][]byte, error) {
	out := make([][]byte, len(list))
	for i, s := range list {
		b, err := hex.DecodeString(s)
		if err != nil {
			return nil, errors.Wrapf(err, "[%d]", i)
		}
		out[i] = b
	}
	return out, nil
}

func (s serviceFile) document() (*tlv1.Document, error) {
	profile, found := profiles[s.Profile]
	if !found {
		return nil, errors.Newf("profile: %q is neither quick nor careful", s.Profile)
	}
	svc := &tlv1.Service{
		Workspace: s.Workspace, Name: s.Name, Profile: profile,
		FloorSlots: s.FloorSlots, Nodes: s.Nodes, Queue: s.Queue,
	}
	for _, t := range s.Targets {
		svc.Targets = append(svc.Targets, &tlv1.Target{Id: t.ID, Address: t.Address, Slots: t.Slots, Hall: t.Hall, Leaving: t.Leaving})
	}
	for i, r := range s.Routes {
		repeat, found := repeats[r.Repeat]
		if !found {
			return nil, errors.Newf("route[%d].repeat: %q is neither allowed nor once", i, r.Repeat)
		}
		svc.Routes = append(svc.Routes, &tlv1.Route{
			Host: r.Host, PathPrefix: r.PathPrefix, Methods: r.Methods, Repeat: repeat,
			DeadlineMs: r.DeadlineMs, Retries: r.Retries, KeyOptional: r.KeyOptional,
		})
	}
	return keyed(&tlv1.Document{Body: &tlv1.Document_Service{Service: svc}})
}

// nameOf returns what the document is called in messages.
func nameOf(d *tlv1.Document) string {
	if s := d.GetService(); s != nil {
		return fmt.Sprintf("service %s/%s", s.GetWorkspace(), s.GetName())
	}
	if h := d.GetHall(); h != nil {
		return "hall " + h.GetName()
	}
	return "workspace " + d.GetWorkspace().GetName()
}
