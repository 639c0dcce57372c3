//go:build review2

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// clockAhead is how far the machine's clock is ahead when the endpoint first starts. It
	// is then set right.
	clockAhead = 2 * time.Second
	// restartAfter is the time from the first start to the crash, and downTime the time
	// until the endpoint is back under its ID.
	restartAfter = 800 * time.Millisecond
	downTime     = 300 * time.Millisecond
	// clientsPerKind is the number of clients of a machine that send orders, and of those that
	// send lookups. Together they need nearly all slots of three endpoints.
	clientsPerKind = 8
	// leavingTime is how long the endpoint serves after its draining was acknowledged.
	leavingTime = 6 * time.Second
)

// caseBorn restarts an endpoint under its ID after the clock of its machine was set back,
// and lets it drain. A request that reaches it later than drainBound after the
// acknowledgement breaks DRAIN.
func caseBorn(re *record, trouble bool) error {
	de, err := newDeployment(re)
	if err != nil {
		return err
	}
	defer de.stop()
	for _, zone := range []string{"a", "b", "a", "b"} {
		if _, err := de.addMachine(zone, "desk"); err != nil {
			return err
		}
	}
	de.configure(1, []string{"desk"}, []route{
		{"lookup", "shop.example", "/lookup/", "idempotent", "desk", 3 * time.Second, time.Second, 1, 2},
		{"order", "shop.example", "/order/", "non_idempotent", "desk", 3 * time.Second, time.Second, 0, 2},
	})
	for _, ma := range de.machines {
		if err := ma.startNode(); err != nil {
			return err
		}
	}
	const workTime = 600 * time.Millisecond
	for nn, ma := range de.machines[1:] {
		if _, err := ma.startEndpoint(fmt.Sprintf("i-%d", nn+1), workTime, 0, 0); err != nil {
			return err
		}
	}
	if !de.awaitReady(10 * time.Second) {
		return errors.New("the nodes are not ready")
	}
	ma := de.machines[0]
	clockError := time.Duration(0)
	if trouble {
		clockError = clockAhead
	}
	first, err := ma.startEndpoint("i-0", workTime, clockError, 0)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cl := &clients{de: de, deadline: 3 * time.Second}
	for _, to := range de.machines {
		for range clientsPerKind {
			cl.start(ctx, to, http.MethodPost, "/order/a", 40*time.Millisecond)
			cl.start(ctx, to, http.MethodGet, "/lookup/a", 40*time.Millisecond)
		}
	}
	time.Sleep(restartAfter)
	first.stop()
	re.printf("endpoint i-0: crashed")
	time.Sleep(downTime)
	second, err := ma.startEndpoint("i-0", workTime, 0, 0)
	if err != nil {
		return err
	}
	time.Sleep(4*time.Second + contactBound)
	before := len(second.allRuns())
	second.draining.Store(true)
	if !second.heartbeat() {
		return errors.New("the draining heartbeat was not acknowledged")
	}
	acked := time.Now()
	re.printf("endpoint i-0: draining was acknowledged; it ran %d requests before", before)
	time.Sleep(leavingTime)
	if !second.leave() {
		re.printf("endpoint i-0: its DELETE was not acknowledged")
	}
	left := time.Now()
	second.stop()
	re.printf("endpoint i-0: sent DELETE and exited")
	time.Sleep(time.Second)
	cancel()
	cl.senders.Wait()
	cl.writeRecord()
	return checkBorn(re, cl, second, acked, left)
}

func checkBorn(re *record, cl *clients, en *endpoint, acked, left time.Time) error {
	outs := map[string]outcome{}
	for _, out := range cl.outcomes() {
		outs[out.id] = out
	}
	late, lost, served := 0, 0, 0
	for _, ru := range en.allRuns() {
		out := outs[ru.id]
		after := ru.at.Sub(acked)
		if after <= drainBound {
			continue
		}
		late++
		cut := ru.ended.IsZero()
		if cut && ru.method == http.MethodPost {
			lost++
		}
		if out.status == http.StatusOK {
			served++
		}
		re.printAt(ru.at, "request %s (%s %s, sent at %.3f s) ran at i-0 %d ms after the "+
			"acknowledgement; cut off: %v; the client got %s", ru.id, ru.method, ru.uri,
			out.sent.Sub(re.start).Seconds(), after.Milliseconds(), cut, out.String())
	}
	re.printf("%d requests reached i-0 later than %s after the acknowledgement; %d of them were "+
		"served, %d orders were cut off when it exited at %.3f s", late, drainBound, served, lost,
		left.Sub(re.start).Seconds())
	if late > 0 {
		return errBroken{fmt.Sprintf("%d requests reached the leaving endpoint, %d orders were lost",
			late, lost)}
	}
	return nil
}
