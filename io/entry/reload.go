package entry

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"
)

// reloadInterval is the time between reads of the settings file, which may change without a signal.
const reloadInterval = time.Second

// reload applies changed settings, on SIGHUP and periodically. Addresses stay as they were at the start.
func (n *Node) reload(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		trigger := "check at the reload interval"
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			trigger = "SIGHUP"
		case <-time.After(reloadInterval):
		}
		c, err := n.platform.ReadSettings()
		if err != nil {
			n.log.Info("settings-unreadable", "cause", err.Error(), "in-force", "the previous settings")
			continue
		}
		if reflect.DeepEqual(c, *n.settings.Load()) {
			continue
		}
		n.settings.Store(&c)
		n.sizeBudget(n.currentRules())
		n.budget.SetBounds(c.RetryShare, c.RetryExtra, c.RetryWindow)
		n.log.Info("reload", "trigger", trigger, "retry-share", c.RetryShare, "retry-extra", c.RetryExtra,
			"grace-ms", c.GracePeriod.Milliseconds())
	}
}
