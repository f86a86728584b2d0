package kern

import (
	"cmp"
	"fmt"
	"slices"
)

// Kind is the kind of a plug-in.
type Kind string

// The kinds of plug-in.
const (
	PolicyKind   Kind = "routing-policy"
	UpstreamKind Kind = "upstream-kind"
	StoreKind    Kind = "platform-store"
)

// Doc describes a plug-in; `rhubarbspread explain` prints it.
type Doc struct {
	Name     string
	Kind     Kind
	Title    string
	Text     string
	Settings []string
	Since    string
}

// Plugin is a plug-in's description and constructor.
type Plugin struct {
	Doc Doc
	New any // constructor; its type depends on the kind
}

var plugins = map[string]Plugin{}

// Register adds a plug-in. It is called from init functions and panics if the name is already registered.
func Register(p Plugin) {
	if _, registered := plugins[p.Doc.Name]; registered {
		panic(fmt.Sprintf("kern: plug-in %q registered twice", p.Doc.Name))
	}
	plugins[p.Doc.Name] = p
}

// FindPlugin returns the plug-in with a name.
func FindPlugin(name string) (Plugin, bool) {
	p, ok := plugins[name]
	return p, ok
}

// Plugins returns all plug-ins, sorted by kind and name.
func Plugins() []Plugin {
	out := make([]Plugin, 0, len(plugins))
	for _, p := range plugins {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Plugin) int {
		return cmp.Or(cmp.Compare(a.Doc.Kind, b.Doc.Kind), cmp.Compare(a.Doc.Name, b.Doc.Name))
	})
	return out
}
