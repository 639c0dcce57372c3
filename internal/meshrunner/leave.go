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
	// settingsReloadInterval is how often the settings file is read again,
	// because it may change without a signal.
	settingsReloadInterval = 2 * time.Second
	// drainNoticeTime is how long a draining node continues to accept clients'
	// requests. The platform checks readiness every second and stops sending work
	// after two failed checks.
	drainNoticeTime = 2500 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit, and
	// maxExitFraction bounds it as a fraction of a short grace period.
	exitMargin      = 500 * time.Millisecond
	maxExitFraction = 0.125
	// drainPollInterval is how often a draining node checks whether its work is
	// done.
	drainPollInterval = 50 * time.Millisecond
)

// reload reads the settings again. Addresses, the link's rate and the resource limits
// keep their values from the start.
func (ru *Runner) reload(trigger string) {
	se, err := ru.Reload()
	if err != nil {
		ru.Log.WithError(err).Warn("settings not reloaded; the old ones stay in force")
		return
	}
	if old := ru.settings.Swap(se); !reflect.DeepEqual(old, se) || trigger == "signal" {
		ru.Log.WithFields(logrus.Fields{
			"why": trigger, "service": se.Service,
		}).Info("settings reloaded")
	}
}

// drain shuts the node down gracefully: the node is no longer ready and its gate
// refuses new requests. Clients' requests are served for drainNoticeTime, if they can
// complete before the grace period ends, and then rejected. drain returns when no
// request is in flight, or shortly before the grace period ends.
func (ru *Runner) drain(ctx context.Context) {
	began := ru.Now()
	grace := ru.settings.Load().Grace
	grace -= min(exitMargin, time.Duration(maxExitFraction*float64(grace)))
	ru.draining.Store(true)
	ru.Log.WithField("busy", ru.carrier.InFlight()).Info("leaving")
	ru.carrier.Drain(began.Add(grace))
	ru.requestPublish()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		elapsed := ru.Now().Sub(began)
		if elapsed >= drainNoticeTime {
			ru.carrier.RejectClients()
		}
		busy := ru.carrier.InFlight()
		if elapsed >= drainNoticeTime && busy == 0 || elapsed >= grace {
			ru.Log.WithFields(logrus.Fields{
				"busy": busy, "spentMs": elapsed.Milliseconds(),
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
