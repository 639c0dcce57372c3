package measurer

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/guavastall/guavastall/internal/loader"
	"github.com/guavastall/guavastall/pkg/checker"
)

// Role is what one kind of call costs the first and the last node of its path.
type Role struct {
	Name string  `json:"name"`
	Rate float64 `json:"rate"`
	// First and Last are the processor time that a call costs each node, above
	// what the node uses at rest.
	First checker.Duration `json:"first"`
	Last  checker.Duration `json:"last"`
	// FirstRSS and LastRSS are the resident memory at the end, in bytes.
	FirstRSS float64 `json:"firstRSS"`
	LastRSS  float64 `json:"lastRSS"`
	// Appends is the number of appends to the log per call.
	Appends float64 `json:"appends"`
	Good    float64 `json:"good"`
}

// Roles measures calls that enter at the second node of the deployment and run
// at the target of the first, without and with an idempotency key. The rates
// are those of the calls without and with a key.
func (me *Measurer) Roles(
	ctx context.Context, service checker.Service, rate, keyedRate float64, span time.Duration,
) ([]Role, error) {
	rest, err := me.Rest(ctx, span)
	if err != nil {
		return nil, err
	}
	entry := []netip.AddrPort{me.deployment.Nodes[1].Callers}
	plain := loader.Config{
		Nodes: entry, Service: service, Method: http.MethodGet, Path: "/scan", Name: "plain",
		Rate: rate, Duration: span,
	}
	keyed := loader.Config{
		Nodes: entry, Service: service, Method: http.MethodPost, Path: "/confirm", Name: "keyed",
		Rate: keyedRate, Duration: span, Timeout: 3 * time.Second, Keyed: true,
	}
	var list []Role
	for _, cf := range []loader.Config{plain, keyed} {
		lo, err := loader.New(cf)
		if err != nil {
			return list, err
		}
		var report *loader.Report
		us, err := me.Measure(ctx, func() error {
			report = lo.Run(ctx)
			return nil
		})
		if err != nil {
			return list, fmt.Errorf("calls %s: %w", cf.Name, err)
		}
		cost := func(nn int) checker.Duration {
			return checker.Duration((us.cpus[nn] - rest.cpus[nn]) / cf.Rate * float64(time.Second))
		}
		list = append(list, Role{
			Name: cf.Name, Rate: cf.Rate, First: cost(1), Last: cost(0),
			FirstRSS: us.rss[1], LastRSS: us.rss[0],
			Appends: (us.LogAppends - rest.LogAppends) / cf.Rate,
			Good:    float64(report.Good) / float64(report.Due),
		})
	}
	return list, nil
}

func (ro *Role) row(row func(string, ...any)) {
	row("%s calls, %.0f/s\tfirst node %.3f ms CPU a call\tlast node %.3f ms CPU a call"+
		"\tRSS %.1f and %.1f MB\t%.2f appends a call\t%.2f%% answered",
		ro.Name, ro.Rate, millis(ro.First), millis(ro.Last), ro.FirstRSS/1e6, ro.LastRSS/1e6,
		ro.Appends, 100*ro.Good)
}
