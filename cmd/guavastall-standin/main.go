// Command guavastall-standin simulates the platform's log, a target or callers,
// for the tests of guavastall and for manual trials. It keeps all data in memory
// and is not meant for production.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/guavastall/guavastall/internal/loader"
	"github.com/guavastall/guavastall/internal/logserver"
	"github.com/guavastall/guavastall/internal/targetserver"
	"github.com/guavastall/guavastall/pkg/checker"
)

// readHeaderTimeout limits the time to read the header of a request.
const readHeaderTimeout = 5 * time.Second

type arguments struct {
	Log    *logCmd    `arg:"subcommand:log" help:"run a stand-in for the platform's log"`
	Target *targetCmd `arg:"subcommand:target" help:"run a stand-in for a target"`
	Load   *loadCmd   `arg:"subcommand:load" help:"send calls, check the responses and print a report"`
}

type command interface {
	run(ctx context.Context, stdout io.Writer) error
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var ar arguments
	parser, err := arg.NewParser(arg.Config{Program: "guavastall-standin", Out: stderr}, &ar)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 1
	}
	if err := parser.Parse(args); err != nil && !errors.Is(err, arg.ErrHelp) {
		_, _ = fmt.Fprintln(stderr, "guavastall-standin:", err)
		return 2
	}
	cmd, ok := parser.Subcommand().(command)
	if !ok {
		parser.WriteHelp(stderr)
		return 2
	}
	if err := cmd.run(ctx, stdout); err != nil {
		_, _ = fmt.Fprintln(stderr, "guavastall-standin:", err)
		return 1
	}
	return 0
}

type logCmd struct {
	Listen     netip.AddrPort `arg:"--listen" default:"127.0.0.1:7100" help:"address"`
	AppendRate float64        `arg:"--append-rate" default:"300" help:"appends accepted per second"`
	MaxRecords int            `arg:"--max-records" default:"100000" help:"records kept per stream"`
	MaxAge     time.Duration  `arg:"--max-age" default:"1h" help:"time a record is kept"`
}

func (lc *logCmd) run(ctx context.Context, stdout io.Writer) error {
	log := logserver.New(logserver.Config{
		AppendRate: lc.AppendRate, MaxRecords: lc.MaxRecords, MaxAge: lc.MaxAge,
	})
	ln, err := net.Listen("tcp", lc.Listen.String())
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(stdout, "log listens on", ln.Addr())
	srv := &http.Server{Handler: log.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	return serve(ctx, func() error { return srv.Serve(ln) }, func() {
		log.Close()
		_ = srv.Close()
	})
}

type targetCmd struct {
	Listen        netip.AddrPort  `arg:"--listen" default:"127.0.0.1:7200" help:"address"`
	Version       checker.Version `arg:"--target-version" default:"v1" help:"version reported in responses"`
	Slots         int             `arg:"--slots" default:"20" help:"calls that run concurrently"`
	Connections   int             `arg:"--connections" default:"130" help:"maximum number of open connections"`
	Queue         int             `arg:"--queue" default:"20" help:"maximum number of calls waiting for a slot"`
	WorkTime      time.Duration   `arg:"--work-time" default:"2ms" help:"processing time of a call on a warm target"`
	ResponseBytes int             `arg:"--response-bytes" default:"1024" help:"size of a response body"`
	ColdTime      time.Duration   `arg:"--cold-time" default:"0s" help:"duration of the cold start"`
	ColdSlots     int             `arg:"--cold-slots" default:"2" help:"concurrent calls that a cold target can handle"`
}

func (tc *targetCmd) run(ctx context.Context, stdout io.Writer) error {
	target, err := targetserver.New(targetserver.Settings{
		Version: tc.Version, Slots: tc.Slots, Connections: tc.Connections,
		Queue: tc.Queue, WorkTime: checker.Duration(tc.WorkTime),
		ResponseBytes: tc.ResponseBytes, ColdTime: checker.Duration(tc.ColdTime),
		ColdSlots: tc.ColdSlots,
	}, time.Now)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", tc.Listen.String())
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(stdout, "target listens on", ln.Addr())
	return serve(ctx, func() error { return target.Serve(ln) }, func() { _ = target.Close() })
}

type loadCmd struct {
	Nodes    []netip.AddrPort `arg:"--node,required" help:"caller addresses of nodes, used round-robin"`
	Service  checker.Service  `arg:"--service,required" help:"service to call"`
	Method   string           `arg:"--method" default:"GET" help:"HTTP method"`
	Path     string           `arg:"--path" default:"/" help:"path of each call"`
	Rate     float64          `arg:"--rate" default:"100" help:"calls per second"`
	Duration time.Duration    `arg:"--duration" default:"10s" help:"duration of the run"`
	Timeout  time.Duration    `arg:"--timeout" default:"1s" help:"deadline of each call"`
	Keyed    bool             `arg:"--keyed" help:"give each call an idempotency key"`
}

func (lc *loadCmd) run(ctx context.Context, stdout io.Writer) error {
	lo, err := loader.New(loader.Config{
		Nodes: lc.Nodes, Service: lc.Service, Method: lc.Method, Path: lc.Path,
		Name: fmt.Sprintf("load%d", os.Getpid()), Rate: lc.Rate, Duration: lc.Duration,
		Timeout: lc.Timeout, Keyed: lc.Keyed, MaxRetries: len(lc.Nodes) - 1,
	})
	if err != nil {
		return err
	}
	enc := json.NewEncoder(stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(lo.Run(ctx))
}

// serve runs a server until it fails or the context is done, and then stops it.
func serve(ctx context.Context, run func() error, stop func()) error {
	failed := make(chan error, 1)
	go func() { failed <- run() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		stop()
		if err := <-failed; err != nil && !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
}
