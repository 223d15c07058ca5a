package node_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/schema/tinladder/v1/tinladderv1connect"
	"google.golang.org/protobuf/proto"
)

// TestDocumentsAreWrittenAgainAsTheStoreReturns has the store come back from a copy that is older than a change of a service and
// than another service. Both stay in force, and later changes follow them.
func TestDocumentsAreWrittenAgainAsTheStoreReturns(t *testing.T) {
	t.Parallel()
	f, _ := newOwnServers(t, 3)
	document := func(name, path string, version uint64) *tlv1.Document {
		return &tlv1.Document{Key: "svc/tuul/" + name, Version: version, Body: &tlv1.Document_Service{Service: &tlv1.Service{
			Workspace: "tuul", Name: name, Profile: tlv1.Profile_PROFILE_QUICK, Targets: f.documentTargets(),
			Routes: []*tlv1.Route{{PathPrefix: path, Repeat: tlv1.Repeat_REPEAT_ALLOWED, DeadlineMs: 1000}},
		}}}
	}
	first := f.applyAs("a-1", document("a", "/a1/", 0))
	kept := f.store.Copy()
	second := f.applyAs("a-2", document("a", "/a2/", first))
	f.applyAs("b-1", document("b", "/b1/", 0))
	served := func(path string) {
		t.Helper()
		for _, n := range f.nodes {
			f.eventually(n.name+" serves "+path, func() bool { return f.askOwn(n, path+"x") == http.StatusOK })
		}
	}
	served("/a2/")
	served("/b1/")
	time.Sleep(500 * time.Millisecond)
	f.returnStore(kept, 300*time.Millisecond, func() {})
	for i, end := 0, time.Now().Add(5*time.Second); time.Now().Before(end); i++ {
		n := f.nodes[i%3]
		for _, path := range []string{"/a2/", "/b1/"} {
			if status := f.askOwn(n, path+fmt.Sprint(i)); status != http.StatusOK {
				t.Fatalf("%s answers %d for %s", n.name, status, path)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	version := f.documentVersion("a")
	if version <= second {
		t.Errorf("the store has version %d of the service, and %d was lost", version, second)
	}
	f.applyAs("a-3", document("a", "/a3/", version))
	served("/a3/")
}

// TestOutcomeOfAChangeSurvivesTheStoresReturn asks for the outcome of a change that was made and that the copy lacks. Its
// document is written again, its id is not.
func TestOutcomeOfAChangeSurvivesTheStoresReturn(t *testing.T) {
	t.Parallel()
	f, _ := newOwnServers(t, 3)
	kept := f.store.Copy()
	f.applyAs("late", &tlv1.Document{Key: "svc/tuul/a", Body: &tlv1.Document_Service{Service: &tlv1.Service{
		Workspace: "tuul", Name: "a", Profile: tlv1.Profile_PROFILE_QUICK, Targets: f.documentTargets(),
		Routes: []*tlv1.Route{{PathPrefix: "/a/", Repeat: tlv1.Repeat_REPEAT_ALLOWED, DeadlineMs: 1000}},
	}}})
	for _, n := range f.nodes {
		f.eventually(n.name+" serves the service", func() bool { return f.askOwn(n, "/a/x") == http.StatusOK })
	}
	f.returnStore(kept, 300*time.Millisecond, func() {})
	f.eventually("the document is written again", func() bool { return f.documentVersion("a") > 0 })
	r := connect.NewRequest(&tlv1.ResolveRequest{ChangeId: "late"})
	r.Header().Set("Authorization", "Bearer "+adminToken)
	res, err := f.operator().Resolve(context.Background(), r)
	if err != nil || res.Msg.GetChange().GetVoided() {
		t.Errorf("a change whose document is in force is said not to have been made: %v, %v", res, err)
	}
}

// operator calls the first node as its operators do.
func (f *fleet) operator() tinladderv1connect.OperatorServiceClient {
	return tinladderv1connect.NewOperatorServiceClient(f.http, "http://"+f.nodes[0].operators)
}

// documentTargets returns the targets of the service "desk", in the form that documents name them.
func (f *fleet) documentTargets() []*tlv1.Target {
	f.t.Helper()
	r := connect.NewRequest(&tlv1.GetRequest{Workspace: "tuul", Service: "desk"})
	r.Header().Set("Authorization", "Bearer "+adminToken)
	res, err := f.operator().Get(context.Background(), r)
	if err != nil {
		f.t.Fatal(err)
	}
	return res.Msg.GetDocument().GetService().GetTargets()
}

// documentVersion returns the version of a service's document, or 0.
func (f *fleet) documentVersion(service string) uint64 {
	for _, row := range f.store.Range("tinladder", "", "svc/tuul/"+service, "", 1).Rows {
		d := &tlv1.Document{}
		if proto.Unmarshal(row.Value, d) == nil && d.GetService().GetName() == service {
			return d.GetVersion()
		}
	}
	return 0
}

// applyAs writes a document as the change of that id, and returns its version.
func (f *fleet) applyAs(id string, d *tlv1.Document) (version uint64) {
	f.t.Helper()
	f.eventually("change "+id+" is made", func() bool {
		r := connect.NewRequest(&tlv1.ApplyRequest{Document: d, ChangeId: id})
		r.Header().Set("Authorization", "Bearer "+adminToken)
		res, err := f.operator().Apply(context.Background(), r)
		if err == nil {
			version = res.Msg.GetChange().GetSeq()
		}
		return err == nil
	})
	return version
}
