package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/platform"
	"github.com/guavastall/guavastall/platform/standin"
)

// The bounds of a process under attack. The smallest machines have 184 MB and 4,100
// descriptors.
const (
	hostileMemoryMB = 64
	hostileMaxFDs   = 500
	// hostileHeapLimit is the share of the memory that `guavastall sidecar` gives to
	// the heap, for `guavastall node`, whose setting is the limit of the heap.
	hostileHeapLimit = hostileMemoryMB << 20 * 7 / 10
)

// The hostile load on one address.
const (
	// hostileClients is the number of connections of each attack at any time. All
	// attacks together need more descriptors than the process may have.
	hostileClients = 65
	// hostileRounds is how often a client connects.
	hostileRounds = 4
	// hostileTime bounds the whole load. It is below the times after which servers
	// close unfinished heads, so that these are held at the same time.
	hostileTime = 4 * time.Second
	// hostileBytes is what a client sends on a connection at most.
	hostileBytes = 8 << 20
	// hostileRecoveryTime bounds the wait for a response after the load. It only
	// ends a test whose process hangs.
	hostileRecoveryTime = 30 * time.Second
)

const hostileChunk = 64 << 10

// attack is what a hostile client sends: start, then more again and again.
type attack struct {
	name        string
	start, more []byte
	// limit ends the data, and the client then holds the connection open.
	limit int
}

// attacks returns all attacks. Short fields take many times their length in memory,
// because each is an entry of a map.
func attacks() []attack {
	head := []byte("GET / HTTP/1.1\r\nHost: h\r\n")
	letters := bytes.Repeat([]byte("a"), hostileChunk)
	var fields []byte
	for nn := 0; len(fields) < hostileChunk; nn++ {
		fields = fmt.Appendf(fields, "%s:\r\n", strconv.FormatInt(int64(nn), 36))
	}
	over := append(append([]byte("GET / HTTP/1.1\r\nHost: h\r\nX-Long: "),
		bytes.Repeat(letters, 4)...), "\r\n\r\n"...)
	return []attack{
		{"endless field", append(head[:len(head):len(head)], "X-Long: "...), letters, hostileBytes},
		{"endless fields", head, fields, hostileBytes},
		{"endless request line", []byte("GET /"), letters, hostileBytes},
		{"empty lines", nil, bytes.Repeat([]byte("\r\n"), hostileChunk/2), hostileBytes},
		{"head over the limit", nil, over, len(over)},
		// Heads just under limits of 64, 32 and 16 KiB.
		{"unfinished head, 62 KB", head, fields, 62 << 10},
		{"unfinished head, 30 KB", head, fields, 30 << 10},
		{"unfinished head, 15 KB", head, fields, 15 << 10},
	}
}

// run sends the data on one connection and holds it until the server closes it or the
// end.
func (at *attack) run(address netip.AddrPort, end time.Time) {
	conn, err := net.DialTimeout("tcp", address.String(), time.Until(end))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(end); err != nil {
		return
	}
	sent, err := conn.Write(at.start)
	for err == nil && sent < at.limit {
		var nn int
		nn, err = conn.Write(at.more[:min(len(at.more), at.limit-sent)])
		sent += nn
	}
	if err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// attackAddress runs all attacks on the address until their end and returns the
// largest number of descriptors that the process had open.
func attackAddress(pr *process, address netip.AddrPort) int {
	end := time.Now().Add(hostileTime)
	var clients sync.WaitGroup
	var over atomic.Bool
	for _, at := range attacks() {
		for range hostileClients {
			clients.Go(func() {
				for round := 0; round < hostileRounds && time.Now().Before(end); round++ {
					at.run(address, end)
				}
			})
		}
	}
	go func() {
		clients.Wait()
		over.Store(true)
	}()
	most := 0
	for !over.Load() {
		// The process may have ended, which is checked after the load.
		files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pr.cmd.Process.Pid))
		most = max(most, len(files))
		time.Sleep(20 * time.Millisecond)
	}
	return most
}

// peakMemory returns the peak resident memory of the process in bytes.
func (pr *process) peakMemory() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pr.cmd.Process.Pid))
	require.NoError(pr.t, err, "the process has ended")
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			require.NoError(pr.t, err)
			return kb << 10
		}
	}
	require.Fail(pr.t, "no VmHWM", string(data))
	return 0
}

// limited returns a program that runs the given one with hostileMaxFDs descriptors.
func limited(t *testing.T, program string) string {
	path := filepath.Join(t.TempDir(), "limited")
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", hostileMaxFDs, program)
	require.NoError(t, os.WriteFile(path, []byte(script), 0o700))
	return path
}

// ordinaryRequest is a request that the process answers with 200.
type ordinaryRequest struct {
	method string
	url    string
	header map[string]string
	host   string
}

// do reports whether the response is 200.
func (or *ordinaryRequest) do() bool {
	rq, err := http.NewRequest(or.method, or.url, nil)
	if err != nil {
		return false
	}
	rq.Host = or.host
	for name, value := range or.header {
		rq.Header.Set(name, value)
	}
	client := http.Client{
		Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true},
	}
	rs, err := client.Do(rq)
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

func (or *ordinaryRequest) await(t *testing.T, message string) {
	t.Helper()
	require.Eventually(t, or.do, hostileRecoveryTime, 100*time.Millisecond, message)
}

// requireSurvival attacks the address and checks the process afterwards.
func requireSurvival(
	t *testing.T, pr *process, address netip.AddrPort, requests ...ordinaryRequest,
) {
	for _, or := range requests {
		or.await(t, "no response before the load: "+or.url)
	}
	before := pr.peakMemory()
	files := attackAddress(pr, address)
	require.True(t, pr.running(), "the process has ended")
	peak := pr.peakMemory()
	t.Logf("peak memory %.1f MB (%.1f MB before), descriptors %d",
		float64(peak)/(1<<20), float64(before)/(1<<20), files)
	for _, or := range requests {
		or.await(t, "no response after the load: "+or.url)
	}
	require.True(t, pr.running(), "the process has ended")
	if peak >= hostileMemoryMB<<20 || files >= hostileMaxFDs {
		t.Errorf("peak memory %d and descriptors %d are not below %d and %d",
			peak, files, hostileMemoryMB<<20, hostileMaxFDs)
	}
}

// hostileSidecar is a sidecar with a store and a target in the test process.
type hostileSidecar struct {
	*process
	addresses map[string]netip.AddrPort
}

func startHostileSidecar(t *testing.T) *hostileSidecar {
	const ip = "127.4.0.1"
	hs := &hostileSidecar{addresses: map[string]netip.AddrPort{}}
	for _, name := range []string{"store", "target", "nodes", "clients", "ready", "control", "metrics"} {
		hs.addresses[name] = freePort(t, ip)
	}
	store := standin.NewStore()
	store.Put("keyed.op", "config", `{"version":"r1","routes":[{"name":"safe","host":"h",
		"prefix":"/safe/","kind":"idempotent","timeout":"5s","slo":"1s","priority":1,
		"service":"desk","attempts":2}],"services":[{"name":"desk","health_path":"/health",
		"max_conns":130,"warmup":"1s","warmup_per_s":30}],"limits":{"max_body_bytes":100000}}`)
	listener, err := net.Listen("tcp", hs.addresses["store"].String())
	require.NoError(t, err)
	server := &http.Server{Handler: store, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	target, err := standin.StartTarget(standin.TargetConfig{
		ID: "t1", Service: "desk", Version: "v1", DataCentre: "north",
		Address: hs.addresses["target"], Control: hs.addresses["control"], Slots: 10,
		HeartbeatInterval: 200 * time.Millisecond,
	})
	require.NoError(t, err)
	t.Cleanup(target.Stop)
	settings := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(settings, fmt.Appendf(nil, `
node = "n1"
zone = "north"
service = "desk"
app_addr = %q
internal_ports = [%d]
[listen]
inbound = %q
outbound = %q
ready = %q
control = %q
[limits]
memory_mb = %d
max_fds = %d
cpu_share = 1.0
cores = 1.0
[bounds]
grace = "5s"
retry_ratio = 0.2
retry_window = "10s"
retry_slack = 1000
warmup_factor = 1.5
warmup_slack = 5
[platform]
address = %q
`, hs.addresses["target"], hs.addresses["metrics"].Port(), hs.addresses["nodes"],
		hs.addresses["clients"], hs.addresses["ready"], hs.addresses["control"],
		hostileMemoryMB, hostileMaxFDs, hs.addresses["store"]), 0o600))
	t.Setenv(platform.SettingsVariable, settings)
	hs.process = start(t, limited(t, binaries.node), "sidecar")
	return hs
}

// Guards against a sidecar whose memory or descriptors are exhausted by heads that are
// too long, endless or never finished, on any of its addresses.
func TestHostileClientsOfSidecar(t *testing.T) {
	// A request to the attacked address is answered, and one of a client.
	paths := map[string]string{
		"clients": "", "nodes": "/guavastall/hello", "ready": "/api/ready",
		"control": "", "metrics": "/metrics",
	}
	for name, path := range paths {
		t.Run(name, func(t *testing.T) {
			hs := startHostileSidecar(t)
			requests := []ordinaryRequest{{
				method: http.MethodGet, url: "http://" + hs.addresses["clients"].String() + "/safe/a",
				host: "h", header: map[string]string{"X-Request-Id": "r1", "X-Deadline-Ms": "5000"},
			}}
			if path != "" {
				requests = append(requests, ordinaryRequest{
					method: http.MethodGet, url: "http://" + hs.addresses[name].String() + path,
				})
			}
			if name == "control" {
				// The deregistration of an unknown target is acknowledged.
				requests = append(requests, ordinaryRequest{
					method: http.MethodDelete,
					url:    "http://" + hs.addresses[name].String() + "/api/instances/none",
				})
			}
			requireSurvival(t, hs.process, hs.addresses[name], requests...)
		})
	}
}

// Guards against the same for the addresses of a node.
func TestHostileClientsOfNode(t *testing.T) {
	for _, name := range []string{"peers", "callers", "operators"} {
		t.Run(name, func(t *testing.T) {
			t.Setenv("GUAVASTALL_MEMORY_LIMIT", strconv.Itoa(hostileHeapLimit))
			me := newMesh(t)
			me.program = limited(t, binaries.node)
			no := me.add(0, "v1")
			me.awaitAlive(1)
			me.publish()
			address := map[string]netip.AddrPort{
				"peers": no.listen, "callers": no.callers, "operators": no.operatorAt,
			}[name]
			requireSurvival(t, no.process, address,
				ordinaryRequest{
					method: http.MethodGet, url: "http://" + no.callers.String() + "/scan", host: "tag",
					header: map[string]string{"Guavastall-Timeout": "5s"},
				},
				ordinaryRequest{
					method: http.MethodGet, url: "http://" + no.operatorAt.String() + "/metrics",
				})
		})
	}
}
