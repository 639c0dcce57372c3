package meshrunner

import (
	"context"
	"reflect"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	hangup = syscall.SIGHUP
	// settingsPeriod is how often the settings file is read again, because it may
	// change without a signal.
	settingsPeriod = 2 * time.Second
	// noticeTime is how long a leaving node goes on taking clients' requests: the
	// platform asks each second whether it is ready and stops sending work after
	// two misses.
	noticeTime = 2500 * time.Millisecond
	// killMargin is the part of the grace period that is left for the exit.
	killMargin = 500 * time.Millisecond
	// leavePeriod is how often a leaving node looks whether its work is done.
	leavePeriod = 50 * time.Millisecond
)

// reload reads the settings again. Addresses stay as they were at the start.
func (ru *Runner) reload(why string) {
	se, err := ru.Reload()
	if err != nil {
		ru.Log.WithError(err).Warn("settings not reloaded; the old ones stay in force")
		return
	}
	if old := ru.settings.Swap(se); !reflect.DeepEqual(old, se) || why == "signal" {
		ru.Log.WithFields(logrus.Fields{
			"why": why, "service": se.Service,
		}).Info("settings reloaded")
	}
}

// leave ends the node's work: it is no longer ready and its gate refuses new
// requests. Clients' requests are served for noticeTime and then refused. The
// node exits when no request is under way, or shortly before the grace period
// ends.
func (ru *Runner) leave(ctx context.Context) {
	began := ru.Now()
	grace := ru.settings.Load().Grace
	ru.leaving.Store(true)
	ru.Log.WithField("busy", ru.carrier.InFlight()).Info("leaving")
	ru.carrier.Drain()
	ru.republish()
	ticker := time.NewTicker(leavePeriod)
	defer ticker.Stop()
	for {
		spent := ru.Now().Sub(began)
		if spent >= noticeTime {
			ru.carrier.RejectClients()
		}
		busy := ru.carrier.InFlight()
		if spent >= noticeTime && busy == 0 || spent >= grace-killMargin {
			ru.Log.WithFields(logrus.Fields{
				"busy": busy, "spentMs": spent.Milliseconds(),
			}).Info("left")
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
