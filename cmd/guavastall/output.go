package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/guavastall/guavastall/pkg/operator"
)

// table writes tab-separated rows as aligned columns.
func table(wr io.Writer, rows func(io.Writer)) {
	tw := tabwriter.NewWriter(wr, 0, 4, 2, ' ', 0)
	rows(tw)
	_ = tw.Flush()
}

func line(wr io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(wr, format+"\n", args...)
}

func writeAccepted(wr io.Writer, ac operator.Accepted) {
	line(wr, "accepted as revision %d (publication %s)", ac.Revision, ac.ID)
	if ac.Move != 0 {
		line(wr, "move %d started; follow it with: guavastall moves", ac.Move)
	}
}

func writeConvergence(wr io.Writer, co operator.Convergence, waited time.Duration) {
	if co.Everywhere {
		line(wr, "revision %d is in force everywhere, seen after %v",
			co.Revision, waited.Round(time.Millisecond))
	} else {
		line(wr, "revision %d is not yet in force everywhere", co.Revision)
	}
	table(wr, func(tw io.Writer) {
		line(tw, "DATA CENTRE\tNODES\tMINIMUM\tREPORT AGE\tBEHIND OR UNREACHABLE")
		for _, dc := range co.DataCentres {
			line(tw, "%s\t%d\t%d\t%v\t%v", dc.DataCentre, dc.Nodes, dc.Minimum,
				time.Duration(dc.Age).Round(100*time.Millisecond), dc.Behind)
		}
	})
}

func writeMoves(wr io.Writer, list []operator.Move) {
	if len(list) == 0 {
		line(wr, "no moves")
		return
	}
	table(wr, func(tw io.Writer) {
		line(tw, "MOVE\tSERVICE\tFROM\tTO\tPHASE\tDEADLINE\tSHARES\tREASON")
		for _, mo := range list {
			shares := ""
			for _, mp := range mo.DataCentres {
				shares += fmt.Sprintf("%s=%.4g%% ", mp.DataCentre, 100*mp.Share)
			}
			deadline := "-"
			if !mo.Deadline.IsZero() {
				deadline = mo.Deadline.Format(time.RFC3339)
			}
			line(tw, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s", mo.ID, mo.Service, mo.From, mo.To,
				mo.Phase, deadline, shares, mo.Reason)
		}
	})
}

func writeStatus(wr io.Writer, st operator.Status) {
	table(wr, func(tw io.Writer) {
		line(tw, "node\t%s", st.Node)
		line(tw, "build\t%s", st.Build)
		line(tw, "data centre\t%s", st.DataCentre)
		line(tw, "service\t%s %s", st.Service, st.Version)
		line(tw, "revision\t%d", st.Revision)
		line(tw, "ready\t%t", st.Ready)
		line(tw, "possibly stale\t%t", st.Stale)
		line(tw, "draining\t%t", st.Draining)
		line(tw, "log reachable\t%t", st.LogReachable)
		line(tw, "target\t%d of %d in flight, cold %t", st.InFlight, st.Limit, st.Cold)
		line(tw, "broken invariants\t%d", st.Violations)
	})
}

func writeMesh(wr io.Writer, me operator.Mesh, co operator.Convergence) {
	table(wr, func(tw io.Writer) {
		line(tw, "DATA CENTRE\tOUT\tALIVE\tKNOWN")
		for _, dc := range me.DataCentres {
			line(tw, "%s\t%t\t%d\t%d", dc.Name, dc.Out, dc.Alive, dc.Known)
		}
	})
	line(wr, "")
	table(wr, func(tw io.Writer) {
		line(tw, "NODE\tSTATE\tDATA CENTRE\tSERVICE\tVERSION\tDRAINING")
		for _, mb := range me.Members {
			line(tw, "%s\t%s\t%s\t%s\t%s\t%t", mb.Node, mb.State, mb.DataCentre,
				mb.Service, mb.Version, mb.Draining)
		}
	})
	line(wr, "")
	writeConvergence(wr, co, 0)
}

func writeDataCentre(wr io.Writer, an operator.DataCentreAnswer) {
	change := "in"
	if an.Out {
		change = "out"
	}
	line(wr, "data centre %s is %s (epoch %d)", an.DataCentre, change, an.Epoch)
	if !an.Logged {
		line(wr, "the platform's log is away; the change spreads from node to node "+
			"and is appended when the log returns")
	}
}
