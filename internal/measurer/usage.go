package measurer

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/guavastall/guavastall/pkg/operator"
)

// clockTicks is USER_HZ, the number of clock ticks per second in /proc. It is 100 on
// every Linux port that Go supports.
const clockTicks = 100

// Usage is the resource usage of the nodes over a period, averaged per node.
type Usage struct {
	Nodes int `json:"nodes"`
	// BytesPerSecond is the control traffic, inbound and outbound together.
	BytesPerSecond float64 `json:"bytesPerSecond"`
	// WorstBytesPerSecond is the control traffic of the node with the most traffic.
	WorstBytesPerSecond float64 `json:"worstBytesPerSecond"`
	// CPU is the processor time as a share of one core.
	CPU      float64 `json:"cpu"`
	WorstCPU float64 `json:"worstCPU"`
	// RSS is the resident set size in bytes at the end of the period.
	RSS      float64 `json:"rss"`
	WorstRSS float64 `json:"worstRSS"`
	// LogReads and LogAppends are the requests to the log per second by all nodes.
	LogReads   float64 `json:"logReads"`
	LogAppends float64 `json:"logAppends"`
	// Violations counts the invariant violations since the nodes started.
	Violations int64 `json:"violations"`

	// cpus and rss hold the CPU and RSS of each node.
	cpus, rss []float64
}

// reading holds the cumulative usage of one node.
type reading struct {
	bytes, violations int64
	cpu               time.Duration
	rss               int64
}

// Measure measures the usage while the function runs.
func (me *Measurer) Measure(ctx context.Context, run func() error) (Usage, error) {
	before, err := me.readAll(ctx)
	if err != nil {
		return Usage{}, err
	}
	logBefore, err := me.LogStats(ctx)
	if err != nil {
		return Usage{}, err
	}
	began := time.Now()
	if err := run(); err != nil {
		return Usage{}, err
	}
	span := time.Since(began).Seconds()
	logAfter, err := me.LogStats(ctx)
	if err != nil {
		return Usage{}, err
	}
	after, err := me.readAll(ctx)
	if err != nil {
		return Usage{}, err
	}
	us := Usage{
		Nodes:      len(after),
		LogReads:   float64(logAfter.Reads-logBefore.Reads) / span,
		LogAppends: float64(logAfter.Appends-logBefore.Appends) / span,
	}
	for nn, rd := range after {
		bytes := float64(rd.bytes-before[nn].bytes) / span
		cpu := (rd.cpu - before[nn].cpu).Seconds() / span
		us.cpus, us.rss = append(us.cpus, cpu), append(us.rss, float64(rd.rss))
		us.BytesPerSecond += bytes / float64(len(after))
		us.CPU += cpu / float64(len(after))
		us.RSS += float64(rd.rss) / float64(len(after))
		us.WorstBytesPerSecond = max(us.WorstBytesPerSecond, bytes)
		us.WorstCPU = max(us.WorstCPU, cpu)
		us.WorstRSS = max(us.WorstRSS, float64(rd.rss))
		us.Violations += rd.violations
	}
	return us, nil
}

// MeasureIdle measures the usage of the idle deployment.
func (me *Measurer) MeasureIdle(ctx context.Context, span time.Duration) (Usage, error) {
	return me.Measure(ctx, func() error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(span):
			return nil
		}
	})
}

func (me *Measurer) readAll(ctx context.Context) ([]reading, error) {
	list := make([]reading, len(me.deployment.Nodes))
	err := me.each(me.deployment.Nodes, func(nn int, no *Node) error {
		var err error
		list[nn], err = me.read(ctx, no)
		return err
	})
	return list, err
}

func (me *Measurer) read(ctx context.Context, no *Node) (reading, error) {
	var all map[string]struct {
		Value int64 `json:"value"`
	}
	url := "http://" + no.Operator.String() + operator.PathMetrics
	if err := me.get(ctx, http.MethodGet, url, &all); err != nil {
		return reading{}, fmt.Errorf("read the metrics of node %v: %w", no.Operator, err)
	}
	cpu, err := processorTime(no.PID)
	if err != nil {
		return reading{}, err
	}
	rss, err := residentMemory(no.PID)
	return reading{
		bytes:      all["control.bytesIn"].Value + all["control.bytesOut"].Value,
		violations: all["invariants.violations"].Value, cpu: cpu, rss: rss,
	}, err
}

// processorTime returns the user and system time of a process.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("read the processor time: %w", err)
	}
	// The command name, in parentheses, may contain spaces. The fields after it
	// begin with the third, so user and system time, fields 14 and 15, have the
	// indices 11 and 12.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	if len(fields) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat has %d fields after the name", pid, len(fields))
	}
	var ticks int64
	for _, text := range fields[11:13] {
		value, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("/proc/%d/stat: %w", pid, err)
		}
		ticks += value
	}
	return time.Duration(ticks) * time.Second / clockTicks, nil
}

// residentMemory returns the resident set size of a process in bytes.
func residentMemory(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, fmt.Errorf("read the resident memory: %w", err)
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0, fmt.Errorf("/proc/%d/statm: %w", pid, err)
	}
	return resident * int64(os.Getpagesize()), nil
}
