package logs_test

import (
	"strings"
	"testing"

	"rhubarbspread/io/logs"

	"github.com/zeromicro/go-zero/core/logx"
)

func TestOneLineAnEvent(t *testing.T) {
	var b strings.Builder
	log := logs.New(&b, false)
	log.Info("document-in-force", "version", 3, "text", "two\nlines")
	log.V(1).Info("detail")
	got := b.String()
	if strings.Count(got, "\n") != 1 || !strings.Contains(got, "event=document-in-force version=3") ||
		strings.Contains(got, "detail") {
		t.Errorf("got %q", got)
	}
}

func TestLibraryGoesThroughTheLogger(t *testing.T) {
	var b strings.Builder
	logs.RedirectLogx(logs.New(&b, false))
	logx.Error("something")
	logx.Info("detail")
	if got := b.String(); !strings.Contains(got, "event=library-error text=something") || strings.Contains(got, "detail") {
		t.Errorf("got %q", got)
	}
}
