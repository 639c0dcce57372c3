package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/guavastall/guavastall/pkg/operator"
)

// writeTable writes tab-separated rows as aligned columns.
func writeTable(wr io.Writer, rows func(io.Writer)) {
	tw := tabwriter.NewWriter(wr, 0, 4, 2, ' ', 0)
	rows(tw)
	_ = tw.Flush()
}

func writeLine(wr io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(wr, format+"\n", args...)
}

func writeAccepted(wr io.Writer, ac operator.Accepted) {
	writeLine(wr, "accepted as revision %d (publication %s)", ac.Revision, ac.ID)
	if ac.Move != 0 {
		writeLine(wr, "move %d started; follow it with: guavastall moves", ac.Move)
	}
}

func writeConvergence(wr io.Writer, co operator.Convergence, waited time.Duration) {
	if co.Everywhere {
		writeLine(wr, "revision %d is in force everywhere, confirmed after %v",
			co.Revision, waited.Round(time.Millisecond))
	} else {
		writeLine(wr, "revision %d is not yet in force everywhere", co.Revision)
	}
	writeTable(wr, func(tw io.Writer) {
		writeLine(tw, "DATA CENTRE\tNODES\tMINIMUM\tREPORT AGE\tBEHIND OR UNREACHABLE")
		for _, dc := range co.DataCentres {
			writeLine(tw, "%s\t%d\t%d\t%v\t%v", dc.DataCentre, dc.Nodes, dc.Minimum,
				time.Duration(dc.Age).Round(100*time.Millisecond), dc.Behind)
		}
	})
}

func writeMoves(wr io.Writer, list []operator.Move) {
	if len(list) == 0 {
		writeLine(wr, "no moves")
		return
	}
	writeTable(wr, func(tw io.Writer) {
		writeLine(tw, "MOVE\tSERVICE\tFROM\tTO\tPHASE\tDEADLINE\tSHARES\tREASON")
		for _, mo := range list {
			shares := ""
			for _, mp := range mo.DataCentres {
				shares += fmt.Sprintf("%s=%.4g%% ", mp.DataCentre, 100*mp.Share)
			}
			deadline := "-"
			if !mo.Deadline.IsZero() {
				deadline = mo.Deadline.Format(time.RFC3339)
			}
			writeLine(tw, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s", mo.ID, mo.Service, mo.From, mo.To,
				mo.Phase, deadline, shares, mo.Reason)
		}
	})
}

func writeStatus(wr io.Writer, st operator.Status) {
	writeTable(wr, func(tw io.Writer) {
		writeLine(tw, "node\t%s", st.Node)
		writeLine(tw, "build\t%s", st.Build)
		writeLine(tw, "data centre\t%s", st.DataCentre)
		writeLine(tw, "service\t%s %s", st.Service, st.Version)
		writeLine(tw, "revision\t%d", st.Revision)
		writeLine(tw, "ready\t%t", st.Ready)
		writeLine(tw, "possibly stale\t%t", st.Stale)
		writeLine(tw, "draining\t%t", st.Draining)
		writeLine(tw, "log reachable\t%t", st.LogReachable)
		writeLine(tw, "target\t%d of %d in flight, cold %t", st.InFlight, st.Limit, st.Cold)
		writeLine(tw, "broken invariants\t%d", st.Violations)
	})
}

func writeMesh(wr io.Writer, me operator.Mesh, co operator.Convergence) {
	writeTable(wr, func(tw io.Writer) {
		writeLine(tw, "DATA CENTRE\tOUT\tALIVE\tKNOWN")
		for _, dc := range me.DataCentres {
			writeLine(tw, "%s\t%t\t%d\t%d", dc.Name, dc.Out, dc.Alive, dc.Known)
		}
	})
	writeLine(wr, "")
	writeTable(wr, func(tw io.Writer) {
		writeLine(tw, "NODE\tSTATE\tDATA CENTRE\tSERVICE\tVERSION\tDRAINING")
		for _, mb := range me.Members {
			writeLine(tw, "%s\t%s\t%s\t%s\t%s\t%t", mb.Node, mb.State, mb.DataCentre,
				mb.Service, mb.Version, mb.Draining)
		}
	})
	writeLine(wr, "")
	writeConvergence(wr, co, 0)
}

func writeDataCentre(wr io.Writer, rs operator.DataCentreResponse) {
	change := "in"
	if rs.Out {
		change = "out"
	}
	writeLine(wr, "data centre %s is %s (epoch %d)", rs.DataCentre, change, rs.Epoch)
	if !rs.Logged {
		writeLine(wr, "the platform's log is unavailable; the change is distributed between "+
			"nodes and is appended when the log is available again")
	}
}
