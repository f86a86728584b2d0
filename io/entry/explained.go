package entry

import (
	"fmt"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/proxy"
)

// RouteQuery is a request whose decision is to be explained.
type RouteQuery struct {
	Host           string   `json:"host"`
	Method         string   `json:"method"`
	Path           string   `json:"path"`
	Key            string   `json:"key,omitempty"`   // the caller's, to find its team
	Model          string   `json:"model,omitempty"` // service among those of the route; by default the one with the largest share
	PromptTokens   int      `json:"prompt-tokens,omitempty"`
	MaxTokens      int      `json:"max-tokens,omitempty"`      // of the output; 0 if unknown
	ExpectedTokens int      `json:"expected-tokens,omitempty"` // of the output; 0 if unknown
	PromptParts    []string `json:"prompt-parts,omitempty"`    // IDs
	DeadlineMS     int64    `json:"deadline-ms,omitempty"`     // that the caller waits; 0 if unknown

	body []byte // of the request; in a part of its own
}

// The decisions.
const (
	DecisionSent    = "sent"
	DecisionWaits   = "waits" // for capacity; refused as stated if none becomes free
	DecisionRefused = "refused"
)

// RouteExplanation says where a request would go now, and why.
type RouteExplanation struct {
	Node         string              `json:"node"`
	DataCentre   string              `json:"data-centre"`
	RulesVersion uint64              `json:"rules-version"`
	ListVersion  uint64              `json:"list-version"`
	Route        string              `json:"route,omitempty"`
	Services     []string            `json:"services,omitempty"` // of the route; the decision is on the first
	Team         string              `json:"team,omitempty"`
	Priority     int                 `json:"priority"`        // 0 is the highest
	Class        string              `json:"class,omitempty"` // rank in admission control
	Admission    *AdmissionExplained `json:"admission,omitempty"`
	Decision     string              `json:"decision"`
	Upstream     string              `json:"upstream,omitempty"`
	Path         *PathExplained      `json:"path,omitempty"`
	Others       []PathExplained     `json:"others,omitempty"` // next best paths, or for a refusal the best ones
	Refusal      *RefusalExplained   `json:"refusal,omitempty"`
	LeftOut      []LeftOut           `json:"left-out,omitempty"`
	LeftOutCount map[string]int      `json:"left-out-count,omitempty"` // by reason
}

// AdmissionExplained is what admission control knows of the request.
type AdmissionExplained struct {
	Level        float64 `json:"level"`
	LevelAgeMS   int64   `json:"level-age-ms"`
	Raised       bool    `json:"raised"`
	Late         bool    `json:"late"`
	Ahead        int     `json:"ahead"`
	Rate         float64 `json:"rate"` // requests that got capacity in the last second, without this one
	FirstEventMS int64   `json:"first-event-limit-ms"`
	EventGapMS   int64   `json:"event-gap-limit-ms"`
	KVShare      float64 `json:"kv-share"`
	LinkShare    float64 `json:"link-share"`
}

// PathExplained is a path with its costs and predictions.
type PathExplained struct {
	Stages       []StageExplained `json:"stages"`
	Cost         float64          `json:"cost-ms"`
	FirstEventMS float64          `json:"first-event-ms"`
	PipelinedMS  float64          `json:"pipelined-ms"` // first event if the stages work at the same time
	EventGapMS   float64          `json:"event-gap-ms"`
	WithinLimits bool             `json:"within-limits"`
	UsesEjected  bool             `json:"uses-ejected"`
}

// StageExplained is one stage of a path. Its predictions are those without the link to it; the cost has that of the link.
type StageExplained struct {
	Upstream     string  `json:"upstream"`
	DataCentre   string  `json:"data-centre"`
	From         int     `json:"from"`
	To           int     `json:"to"`
	Cost         float64 `json:"cost-ms"`
	FirstEventMS float64 `json:"first-event-ms"`
	EventGapMS   float64 `json:"event-gap-ms"`
}

// RefusalExplained is the refusal of a request.
type RefusalExplained struct {
	Status          int    `json:"status"`
	Cause           string `json:"cause"`
	AfterMS         int64  `json:"after-ms"` // that it would wait before
	RetryAfterMinMS int64  `json:"retry-after-min-ms"`
	RetryAfterMaxMS int64  `json:"retry-after-max-ms"`
	HasPath         bool   `json:"has-path"` // there is one with room, beyond the limits
	LinksFull       bool   `json:"links-full"`
}

// LeftOut is an upstream that has no stage of the path.
type LeftOut struct {
	Upstream   string `json:"upstream"`
	DataCentre string `json:"data-centre"`
	Reason     string `json:"reason"`
}

// maxLeftOut bounds the upstreams that an answer names, to some 100 KB; all are counted. It is above the 690 that are planned for.
const maxLeftOut = 1000

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// apply fills in the decision.
func (x *RouteExplanation) apply(e proxy.Explanation) {
	x.Decision, x.Upstream = DecisionSent, e.Upstream
	if a := e.Admission; a != nil {
		x.Class = fmt.Sprintf("%d.%d", a.Rank.Primary, a.Rank.Secondary)
		x.Admission = &AdmissionExplained{
			Level: a.Limits.Level, LevelAgeMS: a.Limits.Age.Milliseconds(), Raised: a.Limits.Raised, Late: a.IsLate, Ahead: a.Ahead,
			Rate: a.Rate, FirstEventMS: e.Limits.PipelinedLimit.Milliseconds(), EventGapMS: e.Limits.EventGapLimit.Milliseconds(),
			KVShare: e.Limits.KVShare, LinkShare: e.Limits.LinkShare,
		}
	}
	if e.Chosen != nil {
		path := explainPath(e.Chosen)
		x.Path = &path
	}
	for _, c := range e.Alternatives {
		x.Others = append(x.Others, explainPath(&c))
	}
	counts := make(map[string]int)
	for _, o := range e.Omitted {
		counts[string(o.Reason)]++
		if len(x.LeftOut) < maxLeftOut {
			x.LeftOut = append(x.LeftOut, LeftOut{o.Upstream.ID, o.Upstream.DataCentre, string(o.Reason)})
		}
	}
	x.LeftOutCount = counts
	if e.Refusal != nil {
		x.refuse(e.Refusal, e.LongestRetry)
		x.Refusal.AfterMS, x.Refusal.HasPath, x.Refusal.LinksFull = e.Waited.Milliseconds(), e.Shortage.HasPath, e.Shortage.LinksFull
		if e.Waited > 0 {
			x.Decision = DecisionWaits
		}
	}
}

// refuse fills in a refusal.
func (x *RouteExplanation) refuse(r *proxy.Refusal, longest time.Duration) {
	x.Decision = DecisionRefused
	x.Refusal = &RefusalExplained{Status: r.Status, Cause: r.Cause, RetryAfterMinMS: r.RetryAfter.Milliseconds(),
		RetryAfterMaxMS: longest.Milliseconds()}
}

func explainPath(c *board.Choice) PathExplained {
	p := PathExplained{
		Cost: c.Cost, FirstEventMS: millis(c.Expected.FirstEvent), PipelinedMS: millis(c.Expected.Pipelined),
		EventGapMS: millis(c.Expected.EventGap), WithinLimits: c.IsWithin, UsesEjected: c.UsesEjected,
	}
	for _, s := range c.Stages {
		p.Stages = append(p.Stages, StageExplained{
			Upstream: s.Upstream.ID, DataCentre: s.Upstream.DataCentre, From: s.Layers.From, To: s.Layers.To,
			Cost: s.Cost, FirstEventMS: millis(s.First), EventGapMS: millis(s.EventGap),
		})
	}
	return p
}
