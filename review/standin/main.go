//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/guavastall/guavastall/platform/standin"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// caseTimeout bounds a case.
const caseTimeout = 100 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-standin departed|cold FOLDER")
		os.Exit(failed)
	}
	play, ok := map[string]script{
		"departed": {4, playDeparted}, "cold": {2, playCold},
	}[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "there is no such case")
		os.Exit(failed)
	}
	os.Exit(run(play, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// script is a case: the number of machines, and what happens. play reports whether
// the rule was broken.
type script struct {
	machines int
	play     func(ctx context.Context, de *deployment, trouble bool) (bool, error)
}

func run(sc script, dir string, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	de, err := newDeployment(dir, sc.machines)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer de.stop()
	if err := de.start(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	de.record.line("all nodes are ready")
	isBroken, err := sc.play(ctx, de, trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return failed
	case isBroken:
		return broken
	}
	return held
}

const (
	// calm is how long the deployment runs before anything happens, so that all
	// machines are in touch.
	calm = contact + time.Second
	// servesOn is how long the departed target serves after the acknowledgement.
	servesOn = 14 * time.Second
)

// workTime is the processing time of a request.
func workTime(d time.Duration) func(*http.Request) standin.Behaviour {
	return func(*http.Request) standin.Behaviour { return standin.Behaviour{WorkTime: d} }
}

// LATE_MS is how much later than the node's start the delayed heartbeat arrives.

// playDeparted plays a target that leaves with DELETE while a heartbeat of it is late.
// Its node acknowledges the departure, is killed and starts again; then the late
// heartbeat arrives.
func playDeparted(ctx context.Context, de *deployment, trouble bool) (bool, error) {
	ma := de.machines[0]
	for _, other := range de.machines {
		other.target.SetBehaviour(workTime(30 * time.Millisecond))
	}
	tr := de.startTraffic(15, de.machines)
	time.Sleep(calm)
	ma.control.holdHeartbeat()
	if err := waitFor(ctx, ma.control.holds); err != nil {
		return false, err
	}
	acked := ma.target.Deregister()
	if acked.IsZero() {
		return false, errors.Join(errSetup, errors.New("the departure is not acknowledged"))
	}
	time.Sleep(time.Second)
	inTouch := acked
	if trouble {
		de.killNode(ma)
		time.Sleep(restartDelay)
		if err := de.startNode(ma); err != nil {
			return false, err
		}
		inTouch = ma.nodeStarted.Add(contact)
	} else {
		time.Sleep(restartDelay)
	}
	if text := os.Getenv("LATE_MS"); text != "" {
		late, err := time.ParseDuration(text + "ms")
		if err != nil {
			return false, err
		}
		time.Sleep(late)
	}
	if err := waitFor(ctx, ma.control.release); err != nil {
		return false, err
	}
	time.Sleep(time.Until(acked.Add(servesOn)))
	de.record.line("target %s ends", ma.targetConfig.ID)
	ma.target.Stop()
	time.Sleep(time.Second)
	tr.stop()
	late := 0
	for _, run := range ma.target.Runs() {
		after := run.At.Sub(acked)
		if after <= 0 {
			continue
		}
		counts := after > drain && run.At.After(inTouch)
		de.record.line("run %s by %s at %s, %s after its departure was acknowledged, counts: %v",
			run.ID, ma.targetConfig.ID, de.record.at(run.At), after.Round(time.Millisecond), counts)
		if counts {
			late++
		}
	}
	summary := fmt.Sprintf("DRAIN: %d requests reached the departed target later than %s after "+
		"the acknowledgement, with all machines in touch; %s", late, drain, tr)
	de.record.line("%s", summary)
	fmt.Println(summary)
	return late > 0, nil
}

const (
	// coldKillAfter is the time between the return of the cold target and the kill of
	// its node, and quickRestartDelay the time until the platform starts the node
	// again. The target's second heartbeat comes 870 ms after its start.
	coldKillAfter     = 480 * time.Millisecond
	quickRestartDelay = 300 * time.Millisecond
)

// playCold plays a target that crashes and returns cold, and whose node is killed just
// after the return.
func playCold(ctx context.Context, de *deployment, trouble bool) (bool, error) {
	ma := de.machines[0]
	for _, other := range de.machines {
		other.target.SetBehaviour(workTime(60 * time.Millisecond))
	}
	tr := de.startTraffic(80, de.machines)
	time.Sleep(calm)
	de.record.line("target %s crashes", ma.targetConfig.ID)
	ma.target.Stop()
	time.Sleep(500 * time.Millisecond)
	ma.targetConfig.ID, ma.targetConfig.ColdTime = "i-1-2", warmup
	if err := de.startTarget(ma); err != nil {
		return false, err
	}
	started := time.Now()
	ma.target.SetBehaviour(workTime(60 * time.Millisecond))
	if trouble {
		time.Sleep(time.Until(started.Add(coldKillAfter)))
		de.killNode(ma)
		time.Sleep(quickRestartDelay)
		if err := de.startNode(ma); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(started.Add(warmup + time.Second)))
	tr.stop()
	most := 0
	runs := ma.target.Runs()
	for nn, first := range runs {
		if first.At.After(ma.target.ColdUntil()) {
			break
		}
		count := 0
		for _, run := range runs[nn:] {
			if run.At.Sub(first.At) < time.Second && run.At.Before(ma.target.ColdUntil()) {
				count++
			}
		}
		de.record.line("run %s by %s, %s after its start; %d in the second from here", first.ID,
			ma.targetConfig.ID, first.At.Sub(started).Round(time.Millisecond), count)
		most = max(most, count)
	}
	allowed := warmupPerS*warmupFactor + warmupSlack
	summary := fmt.Sprintf("FAILBACK: the cold target got up to %d requests in one second; "+
		"allowed %.0f; %s", most, allowed, tr)
	de.record.line("%s", summary)
	fmt.Println(summary)
	return float64(most) > allowed, nil
}
