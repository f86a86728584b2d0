package entry

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/admit"
	"rhubarbspread/core/queue"
	"rhubarbspread/core/rules"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// admissionRules returns a configuration of a service with an engine and a plain one, with a route of each priority.
func admissionRules(version uint64, priorities ...int) *rules.Rules {
	var routes []*rules.Route
	for _, p := range priorities {
		for _, service := range []string{"model", "plain"} {
			routes = append(routes, &rules.Route{Name: fmt.Sprint(service, p), Kind: rules.Streaming, Priority: p,
				LatencyObjective: 500 * time.Millisecond, Split: []rules.Share{{Service: service, Weight: 1}}})
		}
	}
	services := []*rules.Service{{Name: "plain"}, {Name: "model", Engine: &rules.Engine{Layers: 80}}}
	return rules.New(version, routes, services, rules.Open{}, rules.Limits{})
}

// TestConfigurationSwitchesAdmission guards against admission control that a configuration leaves in or out of force, and against
// counts that a change loses.
func TestConfigurationSwitchesAdmission(t *testing.T) {
	mixed, single, none := []int{0, 2}, []int{1}, []int{}
	for _, tc := range []struct {
		name    string
		mode    admit.Mode
		changes [][]int
		want    string // after each change, whether it is in force
		lines   int    // in the log
	}{
		{"auto", admit.Auto, [][]int{mixed, single, mixed, none}, "yes no yes no", 4},
		{"auto, other priorities", admit.Auto, [][]int{mixed, {0, 1, 2}}, "yes yes", 1},
		{"on", admit.On, [][]int{single, mixed, none}, "yes yes no", 2},
		{"off", admit.Off, [][]int{mixed, single}, "no no", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			lines := 0
			a := &admissions{mode: tc.mode, log: funcr.New(func(string, string) { lines++ }, funcr.Options{})}
			var got []string
			for i, priorities := range tc.changes {
				r := admissionRules(uint64(i), priorities...)
				a.configure(r)
				a.configure(r)
				a.configure(nil) // no configuration is known
				if a.Admission("plain") != nil {
					t.Error("in force for a plain service")
				}
				if a.Admission("model") != nil {
					got = append(got, "yes")
				} else {
					got = append(got, "no")
				}
			}
			if s := strings.Join(got, " "); s != tc.want || lines != tc.lines {
				t.Errorf("in force: %s with %d lines in the log, want %s with %d", s, lines, tc.want, tc.lines)
			}
		})
	}
}

// TestChangedConfigurationKeepsCounts guards against counts that are lost, or sent twice, when a configuration adds a class, and
// against gauges that do not show the state.
func TestChangedConfigurationKeepsCounts(t *testing.T) {
	a := &admissions{mode: admit.Auto, log: logr.Discard()}
	a.configure(admissionRules(1, 0, 2))
	urgent, patient := admit.RankOf(-1, 0), admit.RankOf(-1, 2)
	control := a.Admission("model")
	for range 4 {
		control.Controller.Offer(admit.Request{Rank: urgent}).Refuse()
	}
	w := control.Queue.Join(queue.Entry{Rank: patient})
	defer w.Leave(false)
	hash := admit.ClassHash("model", urgent)
	a.configure(admissionRules(2, 0, 1, 2))
	if a.Admission("model") != control {
		t.Error("a change of the configuration replaced the state")
	}
	if got := a.Counts(); len(got) != 1 || got[hash] != (admit.Count{Offered: 4, Unserved: 4}) {
		t.Errorf("counts %v after the change, want 4 of 4 of the urgent class", got)
	}
	if level, waiting := a.level(), a.waiting(); level != 1 || waiting != 1 {
		t.Errorf("level %v with %d waiting, want 1 and 1", level, waiting)
	}
	a.configure(admissionRules(3, 1))
	if got := a.Counts(); len(got) != 0 || a.level() != 0 {
		t.Errorf("counts %v and level %v out of force, want none", got, a.level())
	}
}

// TestMergedCountsRaiseTheLevel guards against counts of other nodes that reach no controller.
func TestMergedCountsRaiseTheLevel(t *testing.T) {
	a := &admissions{mode: admit.Auto, log: logr.Discard()}
	a.Merge("n", nil) // nothing is in force yet
	a.configure(admissionRules(1, 0, 2))
	a.Merge("n", map[uint32]admit.Count{admit.ClassHash("model", admit.RankOf(-1, 0)): {Offered: 10, Unserved: 10}})
	if level := a.level(); level != 1 {
		t.Errorf("level %v, want 1", level)
	}
}

// TestRequestsOfARetiredQueueAreWoken guards against requests that wait in vain for capacity that is free, since a configuration took
// admission control out of force or put it back while they waited.
func TestRequestsOfARetiredQueueAreWoken(t *testing.T) {
	synctest.Test(t, checkRetiredQueue)
}

func checkRetiredQueue(t *testing.T) {
	a := &admissions{mode: admit.Auto, log: logr.Discard()}
	a.configure(admissionRules(1, 0, 2))
	control := a.Admission("model")
	w := control.Queue.Join(queue.Entry{})
	<-w.Turn()
	w.Pass()
	for i, priorities := range [][]int{{1}, {3}, {0, 2}, {2}} {
		a.configure(admissionRules(uint64(2+i), priorities...))
		a.wake()
		time.Sleep(queue.WakeInterval) // within which the turn comes
		synctest.Wait()
		select {
		case <-w.Turn():
			w.Pass()
		default:
			t.Errorf("no turn with priorities %v", priorities)
		}
		if len(priorities) == 2 && a.Admission("model") != control {
			t.Error("requests wait in two queues of one service")
		}
	}
	w.Leave(false)
	a.configure(admissionRules(6, 3))
	if len(a.retired) != 0 {
		t.Error("an empty queue is kept")
	}
}
