package measurer

import (
	"fmt"
	"math"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Report holds the measurements of a run.
type Report struct {
	Seed     uint64 `json:"seed"`
	Revision string `json:"revision"`
	// The following fields are empty for parts that were not run.
	Deployments []DeploymentReport `json:"deployments,omitempty"`
	Added       []Path             `json:"added,omitempty"`
	Roles       []Role             `json:"roles,omitempty"`
	Slopes      []Size             `json:"slopes,omitempty"`
	Rollouts    []Rollout          `json:"rollouts,omitempty"`
}

// DeploymentReport holds the measurements of one deployment.
type DeploymentReport struct {
	Name  string `json:"name"`
	Nodes int    `json:"nodes"`
	// Settled is the time until every node saw all others as alive.
	Settled     checker.Duration `json:"settled"`
	Convergence Times            `json:"convergence"`
	Rest        Usage            `json:"rest"`
	Changes     Usage            `json:"changes"`
	Load        Usage            `json:"load"`
	LoadRate    float64          `json:"loadRate"`
	LoadGood    float64          `json:"loadGood"`
	Centre      *CentreMove      `json:"centreMove,omitempty"`
}

// Size holds the measurements at one size of a deployment.
type Size struct {
	Nodes       int              `json:"nodes"`
	Services    int              `json:"services"`
	Settled     checker.Duration `json:"settled"`
	Convergence Times            `json:"convergence"`
	Rest        Usage            `json:"rest"`
	// BytesPerChange is the control traffic per node that one change causes.
	BytesPerChange float64 `json:"bytesPerChange"`
	Restart        Restart `json:"restart"`
}

// Line is a linear regression of a quantity on the number of nodes or on its
// natural logarithm.
type Line struct {
	Start, Slope float64
	// RSquared is the share of the variance that the line explains.
	RSquared    float64
	logarithmic bool
}

// Fit fits a line to the quantity by least squares. It needs at least two sizes.
func Fit(list []Size, quantity func(Size) float64, logarithmic bool) Line {
	li := Line{logarithmic: logarithmic}
	var coordinates, values []float64
	for _, si := range list {
		coordinates = append(coordinates, li.coordinate(si.Nodes))
		values = append(values, quantity(si))
	}
	li.Start, li.Slope = stat.LinearRegression(coordinates, values, nil, false)
	li.RSquared = stat.RSquared(coordinates, values, nil, li.Start, li.Slope)
	return li
}

// At returns the line's value at the number of nodes.
func (li Line) At(nodes int) float64 { return li.Start + li.Slope*li.coordinate(nodes) }

func (li Line) coordinate(nodes int) float64 {
	if li.logarithmic {
		return math.Log(float64(nodes))
	}
	return float64(nodes)
}

// designNodes is the number of endpoints of the design size.
const designNodes = 750

// quantities are the quantities to which lines are fitted.
var quantities = []struct {
	name  string
	value func(Size) float64
}{
	{"control B/s per node", func(si Size) float64 { return si.Rest.BytesPerSecond }},
	{"CPU per node, % of a core", func(si Size) float64 { return 100 * si.Rest.CPU }},
	{"RSS, MB", func(si Size) float64 { return si.Rest.RSS / 1e6 }},
	{"control B per node and change", func(si Size) float64 { return si.BytesPerChange }},
	{"convergence median, ms", func(si Size) float64 { return millis(si.Convergence.Median) }},
	{"convergence worst, ms", func(si Size) float64 { return millis(si.Convergence.Worst) }},
	{"log reads/s", func(si Size) float64 { return si.Rest.LogReads }},
	{"log appends/s", func(si Size) float64 { return si.Rest.LogAppends }},
	{"restart of 80%, ms", func(si Size) float64 { return millis(si.Restart.Serving) }},
	{"restart peak requests/s", func(si Size) float64 { return float64(si.Restart.LogPeak) }},
}

func millis(du checker.Duration) float64 { return time.Duration(du).Seconds() * 1000 }

// Text formats the report as tables.
func (re *Report) Text() string {
	var out strings.Builder
	tw := tabwriter.NewWriter(&out, 0, 4, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(tw, format+"\n", args...) }
	row("seed %d, revision %s", re.Seed, re.Revision)
	for _, dr := range re.Deployments {
		row("\n%s\tN = %d", dr.Name, dr.Nodes)
		row("convergence\tmedian %.0f ms\tp99 %.0f ms\tworst %.0f ms\t%d changes",
			millis(dr.Convergence.Median), millis(dr.Convergence.P99),
			millis(dr.Convergence.Worst), dr.Convergence.Count)
		usageRow(row, "at rest", dr.Rest)
		usageRow(row, "during changes", dr.Changes)
		usageRow(row, fmt.Sprintf("at %.0f calls/s", dr.LoadRate), dr.Load)
		row("calls answered in time\t%.3f%%", 100*dr.LoadGood)
		dr.Centre.rows(row)
	}
	for _, ro := range re.Roles {
		ro.row(row)
	}
	for _, ro := range re.Rollouts {
		ro.row(row)
	}
	for _, pa := range re.Added {
		row("%s\tp50 %.3f ms\tp99 %.3f ms\tadded p50 %.3f ms\tadded p99 %.3f ms"+
			"\t%d rounds, %d failed %s",
			pa.Name, millis(pa.Latency.Median), millis(pa.Latency.P99), millis(pa.AddedMedian),
			millis(pa.AddedP99), pa.Latency.Count, pa.Failed, pa.Failure)
	}
	re.slopes(row)
	_ = tw.Flush()
	return out.String()
}

func usageRow(row func(string, ...any), name string, us Usage) {
	row("%s\t%.0f B/s (worst %.0f)\t%.2f%% CPU (worst %.2f%%)\t%.1f MB RSS (worst %.1f)"+
		"\tlog %.2f reads/s, %.2f appends/s\t%d violations",
		name, us.BytesPerSecond, us.WorstBytesPerSecond, 100*us.CPU, 100*us.WorstCPU,
		us.RSS/1e6, us.WorstRSS/1e6, us.LogReads, us.LogAppends, us.Violations)
}

func (re *Report) slopes(row func(string, ...any)) {
	if len(re.Slopes) == 0 {
		return
	}
	var fitted []Size
	for _, si := range re.Slopes {
		if si.Services == re.Slopes[0].Services {
			fitted = append(fitted, si)
		}
		row("\nN = %d, %d services\tsettled in %.1f s\tconvergence worst of %d %.0f ms",
			si.Nodes, si.Services, millis(si.Settled)/1000, si.Convergence.Count,
			millis(si.Convergence.Worst))
		for _, qu := range quantities {
			row("%s\t%.2f", qu.name, qu.value(si))
		}
		usageRow(row, "at rest", si.Rest)
		row("restart\t%d killed\t%d log requests", si.Restart.Killed, si.Restart.LogRequests)
	}
	if len(fitted) < 2 {
		return
	}
	row("\nquantity\tlinear: at 0\tper node\tat N = %d\tR2\tlogarithmic: at N = %d\tR2",
		designNodes, designNodes)
	for _, qu := range quantities {
		li, lg := Fit(fitted, qu.value, false), Fit(fitted, qu.value, true)
		row("%s\t%.3f\t%.4f\t%.2f\t%.3f\t%.2f\t%.3f", qu.name, li.Start, li.Slope,
			li.At(designNodes), li.RSquared, lg.At(designNodes), lg.RSquared)
	}
}
