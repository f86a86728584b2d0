package serve

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"rhubarbspread/core/call"
	"rhubarbspread/core/conf"
	"rhubarbspread/core/event"
	"rhubarbspread/core/kern"
	"rhubarbspread/core/relay"
	"rhubarbspread/core/reply"
	"rhubarbspread/io/stats"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/zeromicro/go-zero/rest"
)

// Limits of the callers' interface.
const (
	maxConns           = 20_000
	maxPathSegments    = 10       // in a path after the service's name
	maxBodyBytes       = 64 << 20 // of any request; the document in force may set less
	writeTimeout       = 30 * time.Second
	notReadyRetryAfter = time.Second
)

// CallerAPI is the HTTP interface of one node for callers.
type CallerAPI struct {
	view     func() *kern.View
	relay    *relay.Relay
	executor *call.Executor
	ring     *event.Ring
	node     string
	stopping atomic.Bool
	inFlight atomic.Int64
	bodies   bodies

	requests, refusals, brokenStreams                      *counter
	timeToFirstToken, timeBetweenTokens, timeToWholeAnswer *stats.Histogram
}

type counter struct{ add func() }

// NewCallerAPI returns the interface; its metrics go to s. Its server needs WithConn as ConnContext.
func NewCallerAPI(
	node string, view func() *kern.View, r *relay.Relay, e *call.Executor, ring *event.Ring, s *stats.Set, log logr.Logger,
) *CallerAPI {
	count := func(name string) *counter {
		v := s.Counter(name)
		return &counter{add: func() { v.Add(1) }}
	}
	c := &CallerAPI{
		view: view, relay: r, executor: e, ring: ring, node: node,
		requests:          count("requests-total"),
		refusals:          count("refusals-total"),
		brokenStreams:     count("streams-broken-total"),
		timeToFirstToken:  s.Histogram("time-to-first-token-us"),
		timeBetweenTokens: s.Histogram("time-between-tokens-us"),
		timeToWholeAnswer: s.Histogram("time-to-whole-answer-us"),
	}
	c.bodies.name, c.bodies.refused, c.bodies.log = "caller-bytes", count("refusals-by-caller-bytes-total"), log
	s.Gauge("caller-bytes", func() any { return c.bodies.budget.Used() })
	s.Gauge("requests-in-flight", func() any { return c.inFlight.Load() })
	return c
}

// Stop makes /readyz report that the node is not ready, so that the load balancer sends new requests elsewhere.
func (c *CallerAPI) Stop() { c.stopping.Store(true) }

// InFlight returns the number of requests in flight.
func (c *CallerAPI) InFlight() int64 { return c.inFlight.Load() }

// Handler returns the handler of all routes.
func (c *CallerAPI) Handler() (http.Handler, error) {
	server, err := newServer()
	if err != nil {
		return nil, err
	}
	server.AddRoutes([]rest.Route{
		{Method: http.MethodPost, Path: "/v1/completions", Handler: c.complete(false)},
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: c.complete(true)},
	}, rest.WithSSE())
	server.AddRoutes([]rest.Route{
		{Method: http.MethodGet, Path: "/v1/models", Handler: c.models},
		{Method: http.MethodGet, Path: "/healthz", Handler: func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
		}},
		{Method: http.MethodGet, Path: "/readyz", Handler: c.ready},
	})
	server.AddRoutes(serviceRoutes(c.service))
	return newHandler(server)
}

// serviceRoutes returns a route for each method and path depth, because the library's router has no wildcard for the
// rest of a path.
func serviceRoutes(h http.HandlerFunc) []rest.Route {
	var routes []rest.Route
	methods := []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	}
	for _, method := range methods {
		path := "/v1/services/:service"
		routes = append(routes, rest.Route{Method: method, Path: path, Handler: h})
		for i := range maxPathSegments {
			path += fmt.Sprintf("/:part%d", i)
			routes = append(routes, rest.Route{Method: method, Path: path, Handler: h})
		}
	}
	return routes
}

func newServer() (*rest.Server, error) {
	settings := rest.RestConf{Host: "127.0.0.1", MaxConns: maxConns, MaxBytes: maxBodyBytes}
	settings.Middlewares.MaxConns = true
	settings.Middlewares.Recover = true
	return rest.NewServer(settings, rest.WithNotFoundHandler(http.HandlerFunc(notFound)))
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeRefusal(w, reply.NewRefusal(http.StatusNotFound, "no-route", "there is nothing at "+r.URL.Path))
}

func newHandler(server *rest.Server) (http.Handler, error) {
	s, err := rest.NewServerless(server)
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(s.Serve), nil
}

func (c *CallerAPI) ready(w http.ResponseWriter, _ *http.Request) {
	if c.stopping.Load() || !c.view().Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// authenticate returns the current view and the team whose key the request carries, or a refusal.
func (c *CallerAPI) authenticate(r *http.Request) (*kern.View, *conf.Team, *reply.Refusal) {
	c.requests.add()
	v := c.view()
	if !v.Ready() {
		return nil, nil, reply.NewRefusal(http.StatusServiceUnavailable, "not-ready", "the node has no document or no list of VMs yet",
			reply.WithRetryAfter(notReadyRetryAfter))
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, nil, reply.NewRefusal(http.StatusUnauthorized, "no-key", "a bearer key is needed")
	}
	team := v.Keyring().Team(key)
	if team == nil {
		return nil, nil, reply.NewRefusal(http.StatusUnauthorized, "wrong-key", "no team has this key")
	}
	return v, team, nil
}

func (c *CallerAPI) refuse(w http.ResponseWriter, r *reply.Refusal) {
	c.refusals.add()
	writeRefusal(w, r)
}

func (c *CallerAPI) models(w http.ResponseWriter, r *http.Request) {
	v, team, refusal := c.authenticate(r)
	if refusal != nil {
		c.refuse(w, refusal)
		return
	}
	type entry struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	out := struct {
		Object string  `json:"object"`
		Data   []entry `json:"data"`
	}{Object: "list", Data: []entry{}}
	for _, name := range sortedModels(v.Document()) {
		if team.MayUse(name) {
			out.Data = append(out.Data, entry{ID: name, Object: "model"})
		}
	}
	writeJSON(w, http.StatusOK, out)
}

func (c *CallerAPI) complete(chat bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		w.Header().Set(requestHeader, id)
		v, team, refusal := c.authenticate(r)
		if refusal != nil {
			c.refuse(w, refusal)
			return
		}
		limit := v.Document().Limits().BodyBytes()
		account := c.bodies.open(r, limit)
		defer account.Close()
		raw, refusal := c.bodies.read(w, r, limit, account)
		if refusal != nil {
			c.refuse(w, refusal)
			return
		}
		q, refusal := parseCompletion(raw, chat)
		if refusal == nil {
			refusal = checkModel(v, team, q.model)
		}
		if refusal != nil {
			c.refuse(w, refusal)
			return
		}
		c.run(w, r, &job{id: id, chat: chat, view: v, team: team, request: q})
	}
}

// checkModel refuses a model that does not exist, has no upstreams yet or is not allowed for the team.
func checkModel(v *kern.View, team *conf.Team, model string) *reply.Refusal {
	if v.Document().Model(model) == nil || !team.MayUse(model) || v.Pool(model) == nil {
		return reply.NewRefusal(http.StatusNotFound, "no-model", fmt.Sprintf("no model %q for this team", model))
	}
	return nil
}

// job is one completion in flight.
type job struct {
	id      string
	chat    bool
	view    *kern.View
	team    *conf.Team
	request *completionRequest
}

func (c *CallerAPI) run(w http.ResponseWriter, r *http.Request, j *job) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	ctx, cancel := context.WithTimeout(r.Context(), j.view.Document().Limits().Deadline())
	defer cancel()
	c.ring.Append(event.Event{Kind: "arrived", Request: j.id, Team: j.team.Name(), Note: j.request.model})
	sink := newSink(c, w, j)
	q := relay.NewRequest(j.id, j.team.Name(), j.team.Weight(), j.request.model, j.request.prompt, j.request.maxTokens).
		WithParts(j.request.messages)
	start := time.Now()
	answer, err := c.relay.Run(ctx, j.view.Pool(j.request.model), q, sink)
	c.timeToWholeAnswer.Add(time.Since(start))
	if err != nil {
		sink.fail(refusalOf(err))
		return
	}
	c.ring.Append(event.Event{
		Kind: "answered", Request: j.id, Team: j.team.Name(),
		Note: fmt.Sprintf("tokens=%d attempts=%d", answer.Tokens(), answer.Attempts()),
	})
	sink.end(answer)
}

func (c *CallerAPI) service(w http.ResponseWriter, r *http.Request) {
	id := uuid.NewString()
	w.Header().Set(requestHeader, id)
	v, team, refusal := c.authenticate(r)
	if refusal != nil {
		c.refuse(w, refusal)
		return
	}
	name, path := splitService(r.URL.EscapedPath())
	service := v.Document().Service(name)
	if service == nil || !team.MayUse(name) || v.Pool(name) == nil {
		c.refuse(w, reply.NewRefusal(http.StatusNotFound, "no-service", fmt.Sprintf("no service %q for this team", name)))
		return
	}
	limit := v.Document().Limits().BodyBytes()
	account := c.bodies.open(r, limit)
	defer account.Close()
	raw, refusal := c.bodies.read(w, r, limit, account)
	if refusal != nil {
		c.refuse(w, refusal)
		return
	}
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	ctx, cancel := context.WithTimeout(r.Context(), v.Document().Limits().Deadline())
	defer cancel()
	q := &call.Request{
		ID: id, Team: team.Name(), Weight: team.Weight(), Service: name, Method: r.Method, Path: path,
		Query: r.URL.RawQuery, ContentType: r.Header.Get("Content-Type"), Body: raw,
		Key: r.Header.Get("Idempotency-Key"), Idempotent: service.Idempotent(r.Method, path),
	}
	c.ring.Append(event.Event{Kind: "arrived", Request: id, Team: team.Name(), Note: name + path})
	result, err := c.executor.Run(ctx, v.Pool(name), q)
	if err != nil {
		c.ring.Append(event.Event{Kind: "refused", Request: id, Team: team.Name(), Note: err.Error()})
		c.refuse(w, refusalOf(err))
		return
	}
	c.ring.Append(event.Event{Kind: "answered", Request: id, Team: team.Name()})
	writeResult(w, result)
}

func splitService(escaped string) (name, path string) {
	name, path, _ = strings.Cut(strings.TrimPrefix(escaped, "/v1/services/"), "/")
	return name, "/" + path
}

func writeResult(w http.ResponseWriter, result *call.Result) {
	response := result.Response()
	if response.ContentType != "" {
		w.Header().Set("Content-Type", response.ContentType)
	}
	if result.Replayed() {
		w.Header().Set(replayedHeader, "true")
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}
