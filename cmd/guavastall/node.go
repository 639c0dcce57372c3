package main

import (
	"context"
	"io"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/internal/runner"
)

// nodeCmd runs a node until it receives SIGTERM or SIGINT or is drained.
type nodeCmd struct {
	runner.Settings
}

func (nc *nodeCmd) run(ctx context.Context, _, stderr io.Writer) error {
	se := &nc.Settings
	if err := se.Check(); err != nil {
		return err
	}
	log := newLogger(se, stderr)
	asserter.SetHandler(func(vi asserter.Violation) {
		log.WithField("invariant", vi.Invariant).Error("invariant broken: " + vi.Detail)
	})
	debug.SetGCPercent(se.GCPercent)
	if se.MemoryLimit > 0 {
		debug.SetMemoryLimit(se.MemoryLimit)
	}
	no, err := runner.New(se, log, time.Now)
	if err != nil {
		return err
	}
	ls, err := runner.Listen(se)
	if err != nil {
		return err
	}
	return no.Run(ctx, ls)
}

// newLogger returns a logger for the settings, for which Check must have returned
// nil.
func newLogger(se *runner.Settings, stderr io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(stderr)
	if level, err := logrus.ParseLevel(se.LogLevel); err == nil {
		log.SetLevel(level)
	}
	if se.LogFormat == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log
}
