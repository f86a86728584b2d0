package conf_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"rhubarbspread/core/conf"
	"rhubarbspread/io/fake"
)

func decode(tb testing.TB, text string) *conf.Document {
	tb.Helper()
	d, err := conf.Decode([]byte(text))
	if err != nil {
		tb.Fatal(err)
	}
	return d
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name":"a","models":[{"name":"m","layers":3}],"teams":[{"name":"t","models":["m"]}]}`))
	f.Add([]byte(`{"name":"a","limits":{"patience-ms":-1}}`))
	f.Add([]byte(`[1`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		d, err := conf.Decode(raw)
		if (d == nil) == (err == nil) {
			t.Errorf("document %v, error %v", d, err)
		}
	})
}

func TestOneKeyOneTeam(t *testing.T) {
	const digest = "sha256:0000000000000000000000000000000000000000000000000000000000000000"
	_, err := conf.Decode([]byte(`{"name":"a","teams":[{"name":"x","key-digests":["` + digest +
		`"]},{"name":"y","key-digests":["` + digest + `"]}]}`))
	var invalid *conf.Error
	if !errors.As(err, &invalid) || len(invalid.Faults()) != 1 {
		t.Errorf("got %v", err)
	}
}

func TestIdempotentByLongestPrefix(t *testing.T) {
	d := decode(t, `{"name":"a","services":[{"name":"s","routes":[
		{"method":"GET","prefix":"/status","idempotent":true},{"method":"GET","prefix":"/status/reset","idempotent":false}]}]}`)
	for _, test := range []struct {
		method, path string
		want         bool
	}{
		{"GET", "/status", true}, {"GET", "/status/7", true}, {"GET", "/status-change", false},
		{"GET", "/status/reset/1", false}, {"POST", "/status", false}, {"GET", "/other", false},
	} {
		if got := d.Service("s").Idempotent(test.method, test.path); got != test.want {
			t.Errorf("%s %s: %v", test.method, test.path, got)
		}
	}
}

// TestPutSettlesLostAnswers puts a document under each table fault and checks that the result agrees with whether the
// release was written.
func TestPutSettlesLostAnswers(t *testing.T) {
	for _, test := range []struct {
		fault   string
		kind    conf.ChangeKind // of the error, unless written
		written bool
	}{
		{fake.LoseReplies, -1, true},
		{fake.LoseCalls, conf.InDoubt, false},
		{fake.Down, conf.Unreachable, false},
		{fake.LateWrites, -1, true},
	} {
		t.Run(test.fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := fake.NewTable()
				r := conf.NewRegistry(table, table)
				d := decode(t, `{"name":"a"}`)
				if test.fault != fake.Down {
					table.Set(test.fault)
				}
				if test.fault == fake.Down {
					table.Set(fake.Down)
				}
				_, err := r.Put(context.Background(), "trial", d, "operator-1", 0)
				var change *conf.ChangeError
				switch {
				case test.written && err != nil:
					t.Errorf("got %v", err)
				case !test.written && (!errors.As(err, &change) || change.Kind() != test.kind):
					t.Errorf("got %v", err)
				}
				table.Set(fake.Up)
				rel, err := r.Current(context.Background(), "trial")
				if err != nil || (rel.Version == 1) != test.written {
					t.Errorf("version %d, error %v", rel.Version, err)
				}
			})
		})
	}
}

func TestPromoteRaces(t *testing.T) {
	table := fake.NewTable()
	r := conf.NewRegistry(table, table)
	ctx := context.Background()
	one, two := decode(t, `{"name":"one"}`), decode(t, `{"name":"two"}`)
	if _, err := r.Put(ctx, "trial", one, "operator-1", 0); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Put(ctx, "trial", two, "operator-2", 1); err != nil {
		t.Fatal(err)
	}
	_, err := r.Promote(ctx, "trial", "production", one.Digest(), "operator-1", 0)
	var change *conf.ChangeError
	if !errors.As(err, &change) || change.Kind() != conf.Conflict || change.Winner().Author != "operator-2" {
		t.Errorf("got %v", err)
	}
	table.LoseObject("document-" + two.Digest())
	if _, err := r.Promote(ctx, "trial", "production", two.Digest(), "operator-1", 0); !errors.As(err, &change) ||
		change.Kind() != conf.Unreadable {
		t.Errorf("a missing body: %v", err)
	}
}
