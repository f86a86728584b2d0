package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"rhubarbspread/core/proxy"
	"rhubarbspread/core/rules"
	"rhubarbspread/io/ports"
)

// ExplainPath is the path on the metrics address at which decisions are explained.
const ExplainPath = "/explain-route"

// Limits of explanations.
const (
	// maxExplainBytes bounds a query: 64 parts of a prompt with IDs of 64 bytes take 4.5 KB.
	maxExplainBytes = 16 << 10
	// explainReadTime is within which a query has to arrive, and explainTime within which it is answered or refused. Together they are
	// less than the 5 s after which the command gives up. One of 690 upstreams takes some 5 ms; the rest is for waits for the locks of
	// what is copied.
	explainReadTime = 2 * time.Second
	explainTime     = 2 * time.Second
)

// WithExplainKey lets holders of a secret ask where requests would go, on the metrics address; by default nobody may.
func WithExplainKey(secret string) Option { return func(n *Node) { n.explainKey = secret } }

// metricsHandler serves the metrics page and the explanations.
func (n *Node) metricsHandler() http.Handler {
	page := n.stats.Text()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case ExplainPath:
			n.serveExplanation(w, r)
		case ExplainNodesPath:
			n.serveLiveNodes(w, r)
		default:
			page.ServeHTTP(w, r)
		}
	})
}

// mayExplain reports whether a request has the secret. The time that it takes depends on neither.
func (n *Node) mayExplain(r *http.Request) bool {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	want, got := sha256.Sum256([]byte(n.explainKey)), sha256.Sum256([]byte(key))
	return ok && subtle.ConstantTimeCompare(want[:], got[:]) == 1
}

// failExplanation refuses a query.
func (n *Node) failExplanation(w http.ResponseWriter, r *http.Request, status int, cause string) {
	n.log.Info("explain-refused", "client", r.RemoteAddr, "status", status, "cause", cause)
	http.Error(w, cause, status)
}

// allowsExplanation reports whether a query has the secret and the method; otherwise it has been refused.
func (n *Node) allowsExplanation(w http.ResponseWriter, r *http.Request, method string) bool {
	switch {
	case n.explainKey == "":
		http.NotFound(w, r)
	case !n.mayExplain(r):
		n.failExplanation(w, r, http.StatusUnauthorized, "the secret is missing or wrong")
	case r.Method != method:
		n.failExplanation(w, r, http.StatusMethodNotAllowed, "only "+method+" is answered")
	default:
		return true
	}
	return false
}

// serveExplanation answers one query. The caller's key and the body in it are neither logged nor part of the answer.
func (n *Node) serveExplanation(w http.ResponseWriter, r *http.Request) {
	if !n.allowsExplanation(w, r, http.MethodPost) {
		return
	}
	if !n.explaining.CompareAndSwap(false, true) {
		n.failExplanation(w, r, http.StatusTooManyRequests, "another query is being answered")
		return
	}
	query, err := readQuery(w, r)
	if err != nil {
		n.explaining.Store(false)
		n.failExplanation(w, r, err.status, err.cause)
		return
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(r.Context(), explainTime)
	defer cancel()
	answer := make(chan *RouteExplanation, 1)
	go func() { // may outlast the answer while it waits for a lock; until it ends, further queries are refused
		var x *RouteExplanation
		n.contain("explain-route", func() { x = n.explain(ctx, query) }) // a fault here must not end the node
		n.explaining.Store(false)
		answer <- x
	}()
	var x *RouteExplanation
	select {
	case x = <-answer:
	case <-ctx.Done():
	}
	switch {
	case r.Context().Err() != nil:
		n.log.Info("explain-unsent", "client", r.RemoteAddr, "cause", "the client left")
		return
	case ctx.Err() != nil: // what was decided by then may be a consequence of the bound
		n.failExplanation(w, r, http.StatusServiceUnavailable, "no explanation within "+explainTime.String()+"; the node is overloaded")
		return
	case x == nil:
		n.failExplanation(w, r, http.StatusInternalServerError, "the explanation failed; see the log")
		return
	}
	n.stats.Count("explanations")
	n.log.Info("explain-route", "client", r.RemoteAddr, "route", x.Route, "team", x.Team, "decision", x.Decision,
		"ms", time.Since(began).Milliseconds())
	n.sendExplanation(w, r, x)
}

// sendExplanation sends an answer.
func (n *Node) sendExplanation(w http.ResponseWriter, r *http.Request, x any) {
	w.Header().Set("Content-Type", jsonType)
	if err := json.NewEncoder(w).Encode(x); err != nil {
		n.log.Info("explain-unsent", "client", r.RemoteAddr, "cause", err.Error())
	}
}

// explain decides on a query without effect, by the code that serves callers.
func (n *Node) explain(ctx context.Context, query *RouteQuery) *RouteExplanation {
	x := &RouteExplanation{Node: n.config.Node, DataCentre: n.config.DataCentre}
	x.RulesVersion, x.ListVersion = n.Versions()
	f, v := &front{n}, n.view.Load()
	if v == nil || v.Rules == nil {
		x.refuse(noConfiguration(), unavailableRetryAfter)
		return x
	}
	q := &proxy.Request{
		CallerHeaders: proxy.CallerHeaders{
			ID: "explain-route", APIKey: query.Key, Deadline: time.Duration(query.DeadlineMS) * time.Millisecond,
			PromptTokens: max(0, query.PromptTokens), MaxOutputTokens: max(0, query.MaxTokens), ExpectedOutputTokens: max(0, query.ExpectedTokens),
			PromptParts: lowerAll(query.PromptParts),
		},
		Method: query.Method, URI: query.Path, Host: query.Host, Team: rules.Team{Priority: -1}, Body: query.body,
	}
	refusal := f.resolve(v, q, func(t *rules.Route) string {
		x.Services = servicesOf(t, query.Model)
		if len(x.Services) == 0 {
			return ""
		}
		return x.Services[0]
	})
	if q.Route != nil {
		x.Route, x.Team, x.Priority = q.Route.Name, q.Team.Name, q.Route.Priority
		if q.Team.Name != "" && q.Team.Priority >= 0 {
			x.Priority = q.Team.Priority
		}
		q.ExpiresAt = time.Now().Add(requestTimeout(q.Route, q.Deadline))
	}
	if refusal == nil && int64(len(query.body)) > bodyLimit(v.Rules.Limits()) {
		refusal = &proxy.Refusal{Status: http.StatusRequestEntityTooLarge, Cause: ports.ErrTooLarge.Error()}
	}
	if refusal == nil {
		refusal = f.stopRefusal(q)
	}
	if refusal != nil {
		x.refuse(refusal, refusal.RetryAfter)
		return x
	}
	x.apply(n.executor.Explain(ctx, q))
	return x
}

// lowerAll returns the IDs of parts as the headers of requests are read.
func lowerAll(parts []string) []string {
	lower := make([]string, 0, len(parts))
	for _, p := range parts {
		lower = append(lower, strings.ToLower(p))
	}
	return lower
}

// servicesOf returns the services that take a route's requests: first the one that a query names, by default that with the largest share.
func servicesOf(t *rules.Route, named string) []string {
	shares := slices.DeleteFunc(slices.Clone(t.Split), func(s rules.Share) bool { return s.Weight <= 0 })
	slices.SortStableFunc(shares, func(a, b rules.Share) int {
		if a.Service == named || b.Service != named && a.Weight > b.Weight {
			return -1
		}
		return 1
	})
	var names []string
	for _, s := range shares {
		names = append(names, s.Service)
	}
	if named != "" && !slices.Contains(names, named) {
		return nil
	}
	return names
}
