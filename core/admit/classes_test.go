package admit

import (
	"slices"
	"testing"
	"time"

	"rhubarbspread/core/rules"
)

// streaming returns a route to the model with a priority and objectives in milliseconds.
func streaming(priority, firstEvent, eventGap int) *rules.Route {
	return &rules.Route{Kind: rules.Streaming, Priority: priority, LatencyObjective: time.Duration(firstEvent) * time.Millisecond,
		EventGapObjective: time.Duration(eventGap) * time.Millisecond, Split: []rules.Share{{Service: "model", Weight: 1}}}
}

// withChange returns a route after a change.
func withChange(t *rules.Route, change func(*rules.Route)) *rules.Route {
	change(t)
	return t
}

// class returns a class with objectives in milliseconds.
func class(primary, secondary, firstEvent, eventGap int) Class {
	return Class{Rank{primary, secondary}, time.Duration(firstEvent) * time.Millisecond, time.Duration(eventGap) * time.Millisecond}
}

type classesCase struct {
	name   string
	mode   Mode
	access rules.Access
	routes []*rules.Route
	want   []Class
}

// modeCases are configurations in which the mode and the priorities of the routes decide.
func modeCases() []classesCase {
	mixed := []*rules.Route{streaming(2, 1000, 300), streaming(0, 500, 250)}
	single := []*rules.Route{streaming(1, 500, 250), streaming(1, 700, 200)}
	both := []Class{class(0, 0, 500, 250), class(2, 2, 1000, 300)}
	return []classesCase{
		{"auto, different priorities", Auto, rules.Open{}, mixed, both},
		{"auto, one priority", Auto, rules.Open{}, single, nil},
		{"auto, no routes", Auto, rules.Open{}, nil, nil},
		{"on, different priorities", On, rules.Open{}, mixed, both},
		{"on, one priority, the least objectives of its routes", On, rules.Open{}, single, []Class{class(1, 1, 500, 200)}},
		{"on, no routes", On, rules.Open{}, nil, nil},
		{"off, different priorities", Off, rules.Open{}, mixed, nil},
		{"an objective of 0 is none", On, rules.Open{}, []*rules.Route{streaming(1, 0, 250), streaming(1, 700, 0)},
			[]Class{class(1, 1, 700, 250)}},
		{"no objectives", On, rules.Open{}, []*rules.Route{streaming(1, 0, 0)}, []Class{class(1, 1, 0, 0)}},
	}
}

// accessCases are configurations in which teams, or the kind and the shares of routes, decide.
func accessCases() []classesCase {
	mixed := []*rules.Route{streaming(0, 500, 250), streaming(2, 1000, 300)}
	other := func(t *rules.Route) { t.Split = []rules.Share{{Service: "other", Weight: 1}, {Service: "model"}} }
	call := func(t *rules.Route) { t.Kind = rules.Idempotent }
	public := func(t *rules.Route) { t.Public = true }
	return []classesCase{
		{"teams without a priority have those of the routes", Auto, rules.Keyed{"k": {Name: "a", Priority: -1}}, mixed,
			[]Class{class(0, 0, 500, 250), class(2, 2, 1000, 300)}},
		{"teams with and without a priority", Auto, rules.Keyed{"k": {Name: "a", Priority: 1}, "l": {Name: "b", Priority: -1}}, mixed,
			[]Class{class(0, 0, 500, 250), class(1, 0, 500, 250), class(1, 2, 1000, 300), class(2, 2, 1000, 300)}},
		{"a team's priority may equal a route's", Auto, rules.Keyed{"k": {Name: "a", Priority: 0}}, mixed,
			[]Class{class(0, 0, 500, 250), class(0, 2, 1000, 300), class(2, 2, 1000, 300)}},
		{"a public route beside teams that all have a priority", Auto, rules.Keyed{"k": {Name: "a", Priority: 3}},
			[]*rules.Route{withChange(streaming(0, 500, 250), public), streaming(2, 1000, 300)},
			[]Class{class(0, 0, 500, 250), class(2, 2, 1000, 300), class(3, 0, 500, 250), class(3, 2, 1000, 300)}},
		{"teams that differ in priority on routes that do not", Auto,
			rules.Keyed{"k": {Name: "a", Priority: 0}, "l": {Name: "b", Priority: 1}}, []*rules.Route{streaming(1, 500, 250)}, nil},
		{"a weight of 0 makes no class", On, rules.Open{}, []*rules.Route{streaming(0, 500, 250), withChange(streaming(2, 1, 1), other)},
			[]Class{class(0, 0, 500, 250)}},
		{"a weight of 0 makes no second priority", Auto, rules.Open{},
			[]*rules.Route{streaming(0, 500, 250), withChange(streaming(2, 1, 1), other)}, nil},
		{"calls that are no streams make no class", Auto, rules.Open{},
			[]*rules.Route{streaming(0, 500, 250), withChange(streaming(2, 1, 1), call)}, nil},
	}
}

// TestClassesOfConfigurations guards against admission control that is in force where the configuration or the flag does not call
// for it, and against classes that lack a rank or have objectives of other routes.
func TestClassesOfConfigurations(t *testing.T) {
	for _, tc := range append(modeCases(), accessCases()...) {
		t.Run(tc.name, func(t *testing.T) {
			model, plain := &rules.Service{Name: "model", Engine: &rules.Engine{Layers: 80}}, &rules.Service{Name: "plain"}
			routes := slices.Clone(tc.routes)
			for _, route := range tc.routes {
				copied := *route
				copied.Split = []rules.Share{{Service: "plain", Weight: 1}}
				routes = append(routes, &copied)
			}
			r := rules.New(1, routes, []*rules.Service{model, plain}, tc.access, rules.Limits{})
			if got := ClassesOf(r, model, tc.mode); !slices.Equal(got, tc.want) {
				t.Errorf("classes of the engine: %v, want %v", got, tc.want)
			}
			if got := ClassesOf(r, plain, tc.mode); got != nil {
				t.Errorf("classes of the plain service: %v, want none", got)
			}
		})
	}
}

// TestModesAreParsed guards against a misspelt mode that is taken for another one.
func TestModesAreParsed(t *testing.T) {
	for _, tc := range []struct {
		name   string
		want   Mode
		wantOK bool
	}{{"auto", Auto, true}, {"on", On, true}, {"off", Off, true}, {"", "", false}, {"On", "", false}, {"true", "", false}} {
		if got, err := ParseMode(tc.name); got != tc.want || (err == nil) != tc.wantOK {
			t.Errorf("%q: mode %q, error %v", tc.name, got, err)
		}
	}
}

// TestUnevenCardsCallForAdmission guards against requests that are refused too early over paths of many stages, and against balanced
// ranges, which make more stages, where no routes compete.
func TestUnevenCardsCallForAdmission(t *testing.T) {
	card := func(size float64) rules.Card { return rules.Card{SizeMB: size} }
	for _, tc := range []struct {
		name                string
		cards               map[string]rules.Card
		priorities          []int
		isInForce, competes bool
	}{
		{"even cards, one priority", map[string]rules.Card{"a": card(72), "b": card(24)}, []int{1, 1}, false, false},
		{"uneven cards, one priority", map[string]rules.Card{"a": card(72), "b": card(14)}, []int{1, 1}, true, false},
		{"even cards, different priorities", map[string]rules.Card{"a": card(72)}, []int{0, 1}, true, true},
		{"uneven cards, different priorities", map[string]rules.Card{"a": card(72), "b": card(14)}, []int{0, 1}, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			service := &rules.Service{Name: "s", Engine: &rules.Engine{Layers: 80, Cards: tc.cards}}
			var routes []*rules.Route
			for _, p := range tc.priorities {
				routes = append(routes, &rules.Route{Host: "h", Prefix: "/", Kind: rules.Streaming, Priority: p,
					Split: []rules.Share{{Service: "s", Weight: 1}}})
			}
			access := rules.Keyed{"k": {Name: "a", Priority: 0}, "l": {Name: "b", Priority: 1}}
			classes := ClassesOf(rules.New(1, routes, []*rules.Service{service}, access, rules.Limits{}), service, Auto)
			if got := len(classes) > 0; got != tc.isInForce {
				t.Errorf("in force: %v, want %v", got, tc.isInForce)
			}
			if got := Compete(classes); got != tc.competes {
				t.Errorf("routes compete: %v, want %v", got, tc.competes)
			}
		})
	}
}
