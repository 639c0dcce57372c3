package measurer

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/guavastall/guavastall/internal/targetserver"
	"github.com/guavastall/guavastall/pkg/checker"
	"github.com/guavastall/guavastall/pkg/operator"
)

// callTimeout is the timeout of each call during the move of a data centre.
const callTimeout = time.Second

// drainTime is the time after which a data centre that was taken out gets no new
// calls.
const drainTime = 3 * time.Second

// CentreMove is the result of taking a data centre out of service and back in.
type CentreMove struct {
	DataCentre checker.DataCentre `json:"dataCentre"`
	Rate       float64            `json:"rate"`
	// Shares is the share of calls answered successfully and in time, by the second
	// in which they were due.
	Shares []float64 `json:"shares"`
	// Out and In are the seconds at which the data centre was taken out and back in.
	Out int `json:"out"`
	In  int `json:"in"`
	// Before and Inside count the calls executed by the data centre's targets before
	// it was taken out, and from drainTime after that until it was taken back in.
	Before int64 `json:"before"`
	Inside int64 `json:"inside"`
	// Stall is the longest time between two successful responses.
	Stall checker.Duration `json:"stall"`
}

// MoveDataCentre makes calls at a fixed rate, regardless of whether earlier ones
// have ended. It takes the data centre out after a third of the span and back in
// after two thirds.
func (me *Measurer) MoveDataCentre(
	ctx context.Context, dc checker.DataCentre, service checker.Service,
	rate float64, span time.Duration,
) (*CentreMove, error) {
	third := int(span.Seconds()) / 3
	mv := &CentreMove{DataCentre: dc, Rate: rate, Out: third, In: 2 * third}
	client := &http.Client{
		Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64},
	}
	defer client.CloseIdleConnections()
	var (
		mu    sync.Mutex
		wg    sync.WaitGroup
		due   = make([]float64, 3*third)
		good  = make([]float64, 3*third)
		ended []time.Time
	)
	moveDone := make(chan error, 1)
	began := time.Now()
	go func() { moveDone <- me.drainAndRestore(ctx, mv, began) }()
	for number := range int(rate * float64(3*third)) {
		at := began.Add(time.Duration(float64(number) / rate * float64(time.Second)))
		time.Sleep(time.Until(at))
		second := int(float64(number) / rate)
		due[second]++
		node := me.deployment.Nodes[number%len(me.deployment.Nodes)]
		wg.Go(func() {
			_, err := call(ctx, client, node.Callers, service, number)
			now := time.Now()
			mu.Lock()
			defer mu.Unlock()
			if err == nil && now.Sub(at) <= callTimeout {
				good[second]++
				ended = append(ended, now)
			}
		})
	}
	wg.Wait()
	if err := <-moveDone; err != nil {
		return nil, fmt.Errorf("move data centre %s: %w", dc, err)
	}
	for second := range due {
		mv.Shares = append(mv.Shares, good[second]/max(1, due[second]))
	}
	slices.SortFunc(ended, time.Time.Compare)
	for nn := 1; nn < len(ended); nn++ {
		mv.Stall = max(mv.Stall, checker.Duration(ended[nn].Sub(ended[nn-1])))
	}
	return mv, nil
}

// drainAndRestore takes the data centre out and back in at the times of the move,
// and counts the calls executed by its targets.
func (me *Measurer) drainAndRestore(ctx context.Context, mv *CentreMove, began time.Time) error {
	at := func(second int) time.Time { return began.Add(time.Duration(second) * time.Second) }
	start, err := me.executedCalls(ctx, mv.DataCentre)
	if err != nil {
		return err
	}
	time.Sleep(time.Until(at(mv.Out)))
	left, err := me.executedCalls(ctx, mv.DataCentre)
	if err != nil {
		return err
	}
	mv.Before = left - start
	cl := me.operatorOutside(mv.DataCentre)
	if _, err := cl.SetDataCentre(ctx, mv.DataCentre, true); err != nil {
		return err
	}
	time.Sleep(drainTime)
	if left, err = me.executedCalls(ctx, mv.DataCentre); err != nil {
		return err
	}
	time.Sleep(time.Until(at(mv.In)))
	back, err := me.executedCalls(ctx, mv.DataCentre)
	if err != nil {
		return err
	}
	mv.Inside = back - left
	_, err = cl.SetDataCentre(ctx, mv.DataCentre, false)
	return err
}

// executedCalls returns the number of calls executed by the data centre's targets.
func (me *Measurer) executedCalls(ctx context.Context, dc checker.DataCentre) (int64, error) {
	total := int64(0)
	for _, no := range me.deployment.Nodes {
		if no.DataCentre != dc || !no.Target.IsValid() {
			continue
		}
		var ex targetserver.Executions
		url := "http://" + no.Target.String() + "/executions"
		if err := me.get(ctx, http.MethodGet, url, &ex); err != nil {
			return 0, fmt.Errorf("read the calls of target %v: %w", no.Target, err)
		}
		total += int64(ex.Calls)
	}
	return total, nil
}

// operatorOutside returns the operator client of a node in another data centre.
func (me *Measurer) operatorOutside(dc checker.DataCentre) *operator.Client {
	for _, no := range me.deployment.Nodes {
		if no.DataCentre != dc {
			return me.clients[no]
		}
	}
	return me.clients[me.deployment.Nodes[0]]
}

// phase returns the mean and the lowest share within a range of seconds.
func (mv *CentreMove) phase(from, to int) (mean, least float64) {
	least = 1
	for _, share := range mv.Shares[from:to] {
		mean += share / float64(to-from)
		least = min(least, share)
	}
	return mean, least
}

func (mv *CentreMove) rows(row func(string, ...any)) {
	if mv == nil {
		return
	}
	for _, ph := range []struct {
		name     string
		from, to int
	}{{"before", 0, mv.Out}, {"out", mv.Out, mv.In}, {"after", mv.In, len(mv.Shares)}} {
		mean, least := mv.phase(ph.from, ph.to)
		row("%s %s\tmean %.3f%%\tworst second %.3f%%\tof %.0f calls/s",
			mv.DataCentre, ph.name, 100*mean, 100*least, mv.Rate)
	}
	row("longest stall\t%.0f ms\tcalls run in %s: %d before, %d while out",
		millis(mv.Stall), mv.DataCentre, mv.Before, mv.Inside)
}

// Plot saves a plot of the shares over time. The extension of the path determines
// the format.
func (mv *CentreMove) Plot(path string) error {
	pl := plot.New()
	pl.Title.Text = fmt.Sprintf("%s leaves at %d s and returns at %d s",
		mv.DataCentre, mv.Out, mv.In)
	pl.X.Label.Text, pl.Y.Label.Text = "s", "share answered in time"
	pl.Y.Min, pl.Y.Max = 0, 1.05
	points := make(plotter.XYs, len(mv.Shares))
	for nn, share := range mv.Shares {
		points[nn] = plotter.XY{X: float64(nn), Y: share}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	pl.Add(line)
	return pl.Save(16*vg.Centimeter, 8*vg.Centimeter, path)
}
