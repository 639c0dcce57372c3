package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/logkeeper"
	"github.com/guavastall/guavastall/internal/meshrunner"
	"github.com/guavastall/guavastall/platform"
)

// sidecarCmd runs a node on a platform with a store.
type sidecarCmd struct {
	LogLevel string `arg:"--log-level,env:GUAVASTALL_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
}

const (
	// memoryLimitRatio is the ratio of the soft memory limit of the Go runtime to
	// the memory setting.
	memoryLimitRatio = 0.7
	// gcPercent is the heap growth in percent that starts a garbage collection.
	gcPercent = 200
)

// run runs the node until SIGTERM or SIGINT.
func (sc *sidecarCmd) run(_ context.Context, stdout, _ io.Writer) error {
	level, err := logrus.ParseLevel(sc.LogLevel)
	if err != nil {
		return answerer.Wrap(err, answerer.BadRequest, "--log-level")
	}
	se, err := platform.LoadSettings()
	if err != nil {
		return answerer.Wrap(err, answerer.BadRequest, "settings")
	}
	debug.SetGCPercent(gcPercent)
	if se.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(se.Memory)))
	}
	writer := logkeeper.NewWriter(stdout)
	ctx, cancel := context.WithCancel(context.Background())
	writerDone := make(chan struct{})
	go writer.Run(ctx, writerDone)
	defer func() {
		cancel()
		<-writerDone
	}()
	log := logrus.New()
	log.SetOutput(writer)
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})

	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	requests := logkeeper.NewRequests(log)
	registry := metrics.NewRegistry()
	metrics.NewRegisteredFunctionalGauge("log.droppedLines", registry, writer.Dropped)
	metrics.NewRegisteredFunctionalGauge("log.skippedLines", registry, requests.Skipped)
	store := platform.NewStore(se.Store, log)
	return meshrunner.New(se, meshrunner.Parts{
		Decoder: platform.Operator{}, Names: platform.HeaderNames(),
		Pace:     platform.DecodePace,
		Operator: store.Operator(), Mesh: store.Mesh(), Status: store.Status(),
		Control: func(ru *meshrunner.Runner) http.Handler { return platform.ControlHandler(ru) },
		Ready:   func(ru *meshrunner.Runner) http.Handler { return platform.ReadyHandler(ru) },
		Reload:  platform.LoadSettings,
		Log:     log, Events: requests, Metrics: registry, Now: time.Now,
	}).Run(signals)
}
