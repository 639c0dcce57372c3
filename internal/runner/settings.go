package runner

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/pkg/checker"
)

// Settings are the settings of a node. Each can be set by a flag or an
// environment variable.
type Settings struct {
	Listen         netip.AddrPort     `arg:"--listen,env:GUAVASTALL_LISTEN" default:"127.0.0.1:7001" help:"address for other nodes"`
	Advertise      netip.AddrPort     `arg:"--advertise,env:GUAVASTALL_ADVERTISE" help:"address at which other nodes reach this node, if not --listen"`
	CallerListen   netip.AddrPort     `arg:"--caller-listen,env:GUAVASTALL_CALLER_LISTEN" default:"127.0.0.1:7002" help:"address for callers"`
	OperatorListen netip.AddrPort     `arg:"--operator-listen,env:GUAVASTALL_OPERATOR_LISTEN" default:"127.0.0.1:7003" help:"address for operators"`
	Token          string             `arg:"--token,env:GUAVASTALL_TOKEN" help:"operator token; without it, only requests from loopback addresses are accepted"`
	MeshSecret     string             `arg:"--mesh-secret,env:GUAVASTALL_MESH_SECRET" help:"secret shared by all nodes"`
	DataCentre     checker.DataCentre `arg:"--data-centre,env:GUAVASTALL_DATA_CENTRE" help:"data centre of this VM"`
	Region         checker.Region     `arg:"--region,env:GUAVASTALL_REGION" help:"region of the data centre"`
	Service        checker.Service    `arg:"--service,env:GUAVASTALL_SERVICE" help:"service of the target; empty for a node without one"`
	TargetVersion  checker.Version    `arg:"--target-version,env:GUAVASTALL_TARGET_VERSION" help:"version of the target"`
	Target         netip.AddrPort     `arg:"--target,env:GUAVASTALL_TARGET" help:"address of the target"`
	Slots          int                `arg:"--slots,env:GUAVASTALL_SLOTS" default:"20" help:"calls that the target runs concurrently"`
	Connections    int                `arg:"--connections,env:GUAVASTALL_CONNECTIONS" default:"130" help:"connections that the target accepts"`
	PlatformLog    netip.AddrPort     `arg:"--platform-log,env:GUAVASTALL_PLATFORM_LOG" help:"address of the platform's log"`
	Seeds          []netip.AddrPort   `arg:"--seed,env:GUAVASTALL_SEEDS" help:"addresses of other nodes to join through"`
	JoinTime       time.Duration      `arg:"--join-time,env:GUAVASTALL_JOIN_TIME" default:"5s" help:"maximum wait for the newest configuration before serving"`
	DrainTime      time.Duration      `arg:"--drain-time,env:GUAVASTALL_DRAIN_TIME" default:"30s" help:"maximum wait for calls in flight when stopping"`
	ProbeInterval  time.Duration      `arg:"--probe-interval,env:GUAVASTALL_PROBE_INTERVAL" default:"1s" help:"interval between probes of the target's health and load"`
	LogLevel       string             `arg:"--log-level,env:GUAVASTALL_LOG_LEVEL" default:"info" help:"error, warn, info or debug"`
	LogFormat      string             `arg:"--log-format,env:GUAVASTALL_LOG_FORMAT" default:"text" help:"text or json"`
	MemoryLimit    int64              `arg:"--memory-limit,env:GUAVASTALL_MEMORY_LIMIT" default:"58720256" help:"soft memory limit of the Go runtime in bytes; 0 for none"`
	GCPercent      int                `arg:"--gc-percent,env:GUAVASTALL_GC_PERCENT" default:"400" help:"heap growth in percent that starts the garbage collector"`
}

const (
	maxSlots       = 100_000
	maxWait        = 10 * time.Minute
	minMemoryLimit = 16 << 20
)

// Self returns the address at which other nodes reach this node.
func (se *Settings) Self() checker.NodeID {
	if se.Advertise.IsValid() {
		return se.Advertise
	}
	return se.Listen
}

// Check returns an error that lists all invalid settings, or nil.
func (se *Settings) Check() error {
	var ch settingsChecker
	ch.address("--listen", se.Listen)
	ch.address("--caller-listen", se.CallerListen)
	ch.address("--operator-listen", se.OperatorListen)
	if !se.Advertise.IsValid() && (se.Listen.Addr().IsUnspecified() || se.Listen.Port() == 0) {
		ch.add("--advertise", "is required when --listen does not specify one address and port")
	}
	if se.DataCentre == "" {
		ch.add("--data-centre", "is missing; write the name of this VM's data centre")
	}
	ch.target(se)
	if !se.PlatformLog.IsValid() && len(se.Seeds) == 0 {
		ch.add("--platform-log",
			"is missing; without it and --seed, the node cannot find other nodes")
	}
	ch.wait("--join-time", se.JoinTime)
	ch.wait("--drain-time", se.DrainTime)
	ch.wait("--probe-interval", se.ProbeInterval)
	if _, err := logrus.ParseLevel(se.LogLevel); err != nil {
		ch.add("--log-level", "%q: write error, warn, info or debug", se.LogLevel)
	}
	if se.LogFormat != "text" && se.LogFormat != "json" {
		ch.add("--log-format", "%q: write text or json", se.LogFormat)
	}
	if se.MemoryLimit != 0 && se.MemoryLimit < minMemoryLimit {
		ch.add("--memory-limit", "%d bytes is below %d; 0 means no limit",
			se.MemoryLimit, minMemoryLimit)
	}
	ch.between("--gc-percent", int64(se.GCPercent), 10, 10_000)
	if len(ch.faults) == 0 {
		return nil
	}
	return answerer.Wrap(ch.faults, answerer.BadRequest,
		fmt.Sprintf("settings have %d faults:\n", len(ch.faults)))
}

// settingsChecker collects the faults of settings.
type settingsChecker struct {
	faults checker.Faults
}

func (ch *settingsChecker) add(name, format string, args ...any) {
	problem := fmt.Sprintf(format, args...)
	ch.faults = append(ch.faults, checker.Fault{Field: name, Problem: problem})
}

// target checks the settings of the node's target.
func (ch *settingsChecker) target(se *Settings) {
	if se.Service != "" {
		ch.address("--target", se.Target)
		if se.TargetVersion == "" {
			ch.add("--target-version", "is missing; a node with a service needs its version")
		}
	} else if se.Target.IsValid() {
		ch.add("--service", "is missing; a node with a target needs its service")
	}
	ch.between("--slots", int64(se.Slots), 1, maxSlots)
	ch.between("--connections", int64(se.Connections), 1, maxSlots)
}

func (ch *settingsChecker) address(name string, addr netip.AddrPort) {
	if !addr.IsValid() {
		ch.add(name, "is missing; write an IP address and port such as 127.0.0.1:7001")
	}
}

func (ch *settingsChecker) between(name string, value, low, high int64) {
	if value < low || value > high {
		ch.add(name, "%d is not between %d and %d", value, low, high)
	}
}

func (ch *settingsChecker) wait(name string, value time.Duration) {
	if value <= 0 || value > maxWait {
		ch.add(name, "%v is not above 0 and at most %v", value, maxWait)
	}
}
