package serve

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"rhubarbspread/core/conf"
	"rhubarbspread/core/relay"
	"rhubarbspread/core/reply"
)

// sink writes an answer to a caller, in one response body or as server-sent events.
type sink struct {
	callers  *CallerAPI
	w        http.ResponseWriter
	control  *http.ResponseController
	job      *job
	started  bool
	latestAt time.Time // time of the request's arrival, then of the latest token
	created  int64     // Unix time of the request's arrival, in seconds
}

func newSink(c *CallerAPI, w http.ResponseWriter, j *job) *sink {
	now := time.Now()
	return &sink{callers: c, w: w, control: http.NewResponseController(w), job: j, latestAt: now, created: now.Unix()}
}

// Token records the time of a token and, in a stream, sends it at once.
func (s *sink) Token(position int, text string) error {
	now := time.Now()
	if position == 0 {
		s.callers.timeToFirstToken.Add(now.Sub(s.latestAt))
	} else {
		s.callers.timeBetweenTokens.Add(now.Sub(s.latestAt))
	}
	s.latestAt = now
	if !s.job.request.stream {
		return nil
	}
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	return s.writeEvent(s.chunk(text, nil))
}

func (s *sink) writeEvent(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.writeData(raw)
}

func (s *sink) writeData(raw []byte) error {
	// A caller that reads nothing for this long counts as disconnected.
	if err := s.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", raw); err != nil {
		return err
	}
	return s.control.Flush()
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type envelope struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (s *sink) envelope(object string, c choice) envelope {
	return envelope{ID: s.job.id, Object: object, Created: s.created, Model: s.job.request.model, Choices: []choice{c}}
}

func (s *sink) chunk(text string, reason *string) envelope {
	if s.job.chat {
		return s.envelope("chat.completion.chunk", choice{Delta: &delta{Content: text}, FinishReason: reason})
	}
	return s.envelope("text_completion", choice{Text: &text, FinishReason: reason})
}

// end completes the answer. It ignores write errors: they mean that the caller disconnected, and a caller without
// the final event knows that its answer is incomplete.
func (s *sink) end(a *relay.Answer) {
	reason := a.Reason()
	if s.job.request.stream {
		if s.writeEvent(s.chunk("", &reason)) == nil {
			_ = s.writeData([]byte("[DONE]"))
		}
		return
	}
	text := a.Text()
	e := s.envelope("text_completion", choice{Text: &text, FinishReason: &reason})
	if s.job.chat {
		e = s.envelope("chat.completion", choice{Message: &message{Role: "assistant", Content: text}, FinishReason: &reason})
	}
	e.Usage = &usage{CompletionTokens: a.Tokens()}
	writeJSON(s.w, http.StatusOK, e)
}

// fail reports a refusal to the caller. A stream that has started ends with an error event and without [DONE].
func (s *sink) fail(r *reply.Refusal) {
	if !s.started {
		s.callers.refuse(s.w, r)
		return
	}
	s.callers.brokenStreams.add()
	_ = s.writeEvent(struct {
		Error problem `json:"error"`
	}{problemOf(r)})
}

func sortedModels(d *conf.Document) []string {
	names := make([]string, 0, len(d.Models()))
	for name := range d.Models() {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
