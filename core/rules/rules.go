package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"rhubarbspread/core/fleet"
)

// Kind is the class of a route's requests, which decides whether they may be retried.
type Kind int

// The kinds of routes.
const (
	Idempotent    Kind = iota // may run more than once
	NonIdempotent             // runs at most once
	Streaming                 // a series of events; runs at most once unless the route is resumable
)

// Share is a service's share of a route's requests.
type Share struct {
	Service string
	Weight  float64 // relative to the sum of the route's weights
}

// Route maps the requests of a host and path prefix to services and sets how they are handled.
type Route struct {
	Name              string
	Host              string
	Prefix            string // begins and ends with a slash
	Kind              Kind
	Timeout           time.Duration // longest time that a caller waits; 0 for none
	LatencyObjective  time.Duration // objective for the time to the response, or to a stream's first event
	EventGapObjective time.Duration // objective for the time between a stream's events
	Priority          int           // 0 is the highest
	Split             []Share
	MaxAttempts       int  // upstreams that may run one request
	Public            bool // needs no team's key
	Resumable         bool // a stream may be resumed after a failure
}

// Repeatable reports whether a request that may have run may be retried.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service returns the service that takes a request, or "" if none has a weight; random is uniform in [0, 1).
func (r *Route) Service(random float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	offset := random * total
	service := ""
	for _, s := range r.Split {
		if s.Weight <= 0 {
			continue
		}
		service = s.Service // also if rounding takes the offset beyond the last one
		if offset < s.Weight {
			break
		}
		offset -= s.Weight
	}
	return service
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name     string
	MaxConns int     // connections that one upstream accepts from all nodes together
	Engine   *Engine // nil for a plain service
}

// CheckUpstream returns an error if an entry of the list can't be one of the configured services' upstreams. Other programs may
// write entries as well.
func (r *Rules) CheckUpstream(u *fleet.Upstream) error {
	s := r.services[u.Service]
	switch {
	case s == nil:
		return fmt.Errorf("service %q is not configured", u.Service)
	case s.Engine == nil:
		return nil
	}
	if _, ok := s.Engine.Cards[u.Card]; !ok {
		return fmt.Errorf("card %q is not one of service %q", u.Card, u.Service)
	}
	return s.Engine.CheckLayers(u.Layers)
}

// Team is a customer, identified by its API key.
type Team struct {
	Name     string
	Priority int // replaces the route's if not negative
}

// noPriority is the priority of a team that has none of its own.
const noPriority = -1

// Access says who may send requests to routes that are not public: Open or Keyed.
type Access interface{ isAccess() }

// Open lets everyone send requests, without a key.
type Open struct{}

// Keyed lets those send requests that hold a key of a team, and nobody if there are no keys.
type Keyed map[string]Team

func (Open) isAccess()  {}
func (Keyed) isAccess() {}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleTimeout time.Duration // after which a caller's connection without a request is closed
}

// Rules is one version of the configuration. It is immutable.
type Rules struct {
	version    uint64
	routes     map[string][]*Route // by host, longest prefix first
	routeCount int
	services   map[string]*Service
	access     Access
	limits     Limits
}

// New returns a version of the configuration.
func New(version uint64, routes []*Route, services []*Service, access Access, limits Limits) *Rules {
	r := &Rules{
		version:    version,
		routes:     make(map[string][]*Route),
		routeCount: len(routes),
		services:   make(map[string]*Service, len(services)),
		access:     access,
		limits:     limits,
	}
	for _, t := range routes {
		host := strings.ToLower(t.Host)
		r.routes[host] = append(r.routes[host], t)
	}
	for _, list := range r.routes {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		r.services[s.Name] = s
	}
	return r
}

// Version returns the version number, which increases with each change.
func (r *Rules) Version() uint64 { return r.version }

// Routes returns the number of routes.
func (r *Rules) Routes() int { return r.routeCount }

// Limits returns the bounds on callers.
func (r *Rules) Limits() Limits { return r.limits }

// Service returns a service by name, or nil.
func (r *Rules) Service(name string) *Service { return r.services[name] }

// RoutesTo returns the routes that send requests to a service.
func (r *Rules) RoutesTo(service string) []*Route {
	var list []*Route
	for _, routes := range r.routes {
		for _, t := range routes {
			if slices.ContainsFunc(t.Split, func(s Share) bool { return s.Service == service && s.Weight > 0 }) {
				list = append(list, t)
			}
		}
	}
	return list
}

// TeamPriorities returns the different priorities of teams in ascending order, with -1 if a request may have none.
func (r *Rules) TeamPriorities() []int {
	keys, isKeyed := r.access.(Keyed)
	if !isKeyed {
		return []int{noPriority}
	}
	list := []int{noPriority} // of public routes
	for _, t := range keys {
		list = append(list, max(noPriority, t.Priority))
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// Engines returns the services whose upstreams hold ranges of a model's layers, by name.
func (r *Rules) Engines() []*Service {
	var list []*Service
	for _, s := range r.services {
		if s.Engine != nil {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Match returns the route of a host with the longest prefix of a path, or nil.
func (r *Rules) Match(host, path string) *Route {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	for _, t := range r.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, t.Prefix) {
			return t
		}
	}
	return nil
}

// IsOpen reports whether the configuration has no list of teams, so that everyone may send requests without a key.
func (r *Rules) IsOpen() bool {
	_, isOpen := r.access.(Open)
	return isOpen
}

// NeedsKey reports whether requests of a route need a team's key.
func (r *Rules) NeedsKey(t *Route) bool { return !r.IsOpen() && !t.Public }

// Team returns the team that holds a key. An empty key is none.
func (r *Rules) Team(key string) (Team, bool) {
	keys, ok := r.access.(Keyed)
	if !ok || key == "" {
		return Team{}, false
	}
	t, ok := keys[key]
	return t, ok
}
