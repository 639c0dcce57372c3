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

// Role is the cost of one kind of call at the first and the last node of its path.
type Role struct {
	Name string  `json:"name"`
	Rate float64 `json:"rate"`
	// First and Last are the processor time per call at each node, above that of
	// the idle node.
	First checker.Duration `json:"first"`
	Last  checker.Duration `json:"last"`
	// FirstRSS and LastRSS are the resident set sizes at the end, in bytes.
	FirstRSS float64 `json:"firstRSS"`
	LastRSS  float64 `json:"lastRSS"`
	// Appends is the number of appends to the log per call.
	Appends float64 `json:"appends"`
	Good    float64 `json:"good"`
}

// Roles measures calls that are sent to the second node of the deployment and
// executed by the target of the first: at rate without and at keyedRate with an
// idempotency key.
func (me *Measurer) Roles(
	ctx context.Context, service checker.Service, rate, keyedRate float64, span time.Duration,
) ([]Role, error) {
	rest, err := me.MeasureIdle(ctx, span)
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
