package entry

import (
	"context"
	"errors"
	"net/http"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/proxy"
	"rhubarbspread/core/rules"
	"rhubarbspread/io/frame"
	"rhubarbspread/io/hop"
)

// transport sends attempts over pooled connections.
type transport struct {
	pool    *hop.Pool
	headers HeaderCodec
	node    *Node
}

// HasConnection reports whether an idle connection to an upstream is open.
func (t *transport) HasConnection(u *fleet.Upstream) bool {
	return t.pool.HasIdle(targetOf(u))
}

// Probe opens and closes a connection to an upstream. It returns nil for one of which nothing is known because this node
// itself is at fault.
func (t *transport) Probe(ctx context.Context, u *fleet.Upstream) error {
	err := t.pool.Probe(ctx, targetOf(u))
	if err != nil && t.node.isAtFault() {
		return nil
	}
	return err
}

// Send sends an attempt; its error is a *proxy.SendError.
func (t *transport) Send(ctx context.Context, s *proxy.Send) (*proxy.Answer, error) {
	h := s.Header.Clone()
	t.headers.SetAttemptHeaders(h, s)
	resp, err := t.pool.Do(ctx, &hop.Call{
		Target: targetOf(s.Upstream),
		Method: s.Method, URI: s.URI, Host: s.Host, Header: h, Body: s.Body,
		Fresh:    s.Route.Kind == rules.NonIdempotent || !s.Route.Repeatable(),
		MaxConns: t.node.maxConns(s.Service),
		Foreign:  func(status int, h http.Header) bool { return t.headers.ReadAnswerInfo(s.ID, status, h).IDMismatch },
	})
	if err != nil {
		var malformed *frame.Error
		if errors.As(err, &malformed) {
			t.node.stats.Count("answers-malformed")
		}
		var e *hop.Error
		return nil, proxy.NewSendError(!errors.As(err, &e) || e.Sent(), err)
	}
	for name := range resp.Header {
		if name != "Content-Length" && hop.PerConnection(name) {
			resp.Header.Del(name)
		}
	}
	return &proxy.Answer{
		AnswerInfo: t.headers.ReadAnswerInfo(s.ID, resp.StatusCode, resp.Header),
		Status:     resp.StatusCode, Header: resp.Header, Body: resp.Body,
		EndsWithConnection: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
	}, nil
}
