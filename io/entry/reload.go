package entry

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"
)

// reloadPause is the time between looks at the settings file, which may change without a signal.
const reloadPause = time.Second

// reload puts changed settings in force, on SIGHUP and otherwise. Addresses stay as at the start.
func (n *Node) reload(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		cause := "the file was looked at"
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			cause = "SIGHUP"
		case <-time.After(reloadPause):
		}
		c, err := n.platform.Settings()
		if err != nil {
			n.log.Info("settings-unreadable", "cause", err.Error(), "in-force", "the settings of before")
			continue
		}
		if reflect.DeepEqual(c, *n.settings.Load()) {
			continue
		}
		n.settings.Store(&c)
		n.budget.SetBounds(c.RetryShare, c.RetryExtra, c.RetryWindow)
		n.log.Info("reload", "trigger", cause, "retry-share", c.RetryShare, "retry-extra", c.RetryExtra, "grace-ms", c.Grace.Milliseconds())
	}
}
