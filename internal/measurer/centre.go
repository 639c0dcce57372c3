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

	"github.com/guavastall/guavastall/pkg/checker"
	"github.com/guavastall/guavastall/pkg/operator"
)

// callTimeout is the deadline of each call during a data centre's move.
const callTimeout = time.Second

// CentreMove is the service while a data centre leaves and returns.
type CentreMove struct {
	DataCentre checker.DataCentre `json:"dataCentre"`
	Rate       float64            `json:"rate"`
	// Shares is the share of calls answered completely and in time, by the
	// second in which the call was due.
	Shares []float64 `json:"shares"`
	// Out and In are the seconds in which the data centre left and came back.
	Out int `json:"out"`
	In  int `json:"in"`
	// Stall is the longest time between two good answers.
	Stall checker.Duration `json:"stall"`
}

// MoveCentre makes calls at a fixed rate, whether or not earlier ones have
// ended, takes the data centre out after a third of the span and back in after
// two thirds.
func (me *Measurer) MoveCentre(
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
		open  sync.WaitGroup
		due   = make([]float64, 3*third)
		good  = make([]float64, 3*third)
		ended []time.Time
	)
	marks := make(chan error, 2)
	mark := func(second int, out bool) {
		time.Sleep(time.Duration(second) * time.Second)
		_, err := me.operatorOutside(dc).SetDataCentre(ctx, dc, out)
		marks <- err
	}
	began := time.Now()
	go mark(mv.Out, true)
	go mark(mv.In, false)
	for number := range int(rate * float64(3*third)) {
		at := began.Add(time.Duration(float64(number) / rate * float64(time.Second)))
		time.Sleep(time.Until(at))
		second := int(float64(number) / rate)
		due[second]++
		node := me.deployment.Nodes[number%len(me.deployment.Nodes)]
		open.Go(func() {
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
	open.Wait()
	for range 2 {
		if err := <-marks; err != nil {
			return nil, fmt.Errorf("mark data centre %s: %w", dc, err)
		}
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

// operatorOutside returns the client of a node in another data centre.
func (me *Measurer) operatorOutside(dc checker.DataCentre) *operator.Client {
	for _, no := range me.deployment.Nodes {
		if no.DataCentre != dc {
			return me.clients[no]
		}
	}
	return me.clients[me.deployment.Nodes[0]]
}

// phase returns the mean and the least share of the seconds.
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
	row("longest stall\t%.0f ms", millis(mv.Stall))
}

// Plot writes the shares by second as an SVG file.
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
