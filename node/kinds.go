package node

import "github.com/tinladder/tinladder/store"

// wireNames are the names in messages of kinds whose records name their version themselves. Under the kinds' own names,
// nodes of earlier releases order such records by the store's versions; neither takes the other's.
var wireNames = map[store.Kind]string{store.State: "state/own", store.Documents: "documents/own"}

// wireName returns the name of a kind in messages between nodes.
func wireName(k store.Kind) string {
	if name, found := wireNames[k]; found {
		return name
	}
	return string(k)
}

// kindNamed returns the kind of a name in messages between nodes. A name of an earlier release is of no kind.
func kindNamed(name string) store.Kind {
	for k, other := range wireNames {
		switch name {
		case other:
			return k
		case string(k):
			return ""
		}
	}
	return store.Kind(name)
}
