package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
)

// traceCmd prints the story of one request from the logs of several nodes.
type traceCmd struct {
	ID    string   `arg:"positional,required" help:"ID of the request"`
	Files []string `arg:"positional,required" help:"log files of the nodes"`
	Calls bool     `arg:"--calls" help:"also show the calls that the request made"`
}

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// tracedLine is a log line on the request.
type tracedLine struct {
	at     time.Time
	file   string
	name   string
	fields map[string]any
}

// run prints the lines in the order of their time.
func (tc *traceCmd) run(_ context.Context, stdout, stderr io.Writer) error {
	var lines []tracedLine
	for _, path := range tc.Files {
		found, skipped, err := tc.read(path)
		if err != nil {
			return answerer.Wrap(err, answerer.BadRequest, "read the log "+path)
		}
		if skipped > 0 {
			_, _ = fmt.Fprintf(stderr, "%s: %d lines are not JSON\n", path, skipped)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return answerer.New(answerer.NotFound, "no line on request "+tc.ID)
	}
	slices.SortStableFunc(lines, func(a, b tracedLine) int { return a.at.Compare(b.at) })
	for _, li := range lines {
		_, _ = fmt.Fprintf(stdout, "%s %s %s", li.at.Format("15:04:05.000"), li.file, li.name)
		names := slices.SortedFunc(maps.Keys(li.fields), cmp.Compare[string])
		for _, name := range names {
			_, _ = fmt.Fprintf(stdout, " %s=%v", name, li.fields[name])
		}
		_, _ = fmt.Fprintln(stdout)
	}
	return nil
}

// read returns the lines of a log on the request and the number of lines that
// are not JSON.
func (tc *traceCmd) read(path string) (found []tracedLine, skipped int, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text, tc.ID) {
			continue
		}
		fields := map[string]any{}
		// A collector may put its own prefix before the line.
		if start := strings.IndexByte(text, '{'); start < 0 ||
			json.Unmarshal([]byte(text[start:]), &fields) != nil {
			skipped++
			continue
		}
		if li, ok := tc.line(path, fields); ok {
			found = append(found, li)
		}
	}
	return found, skipped, scanner.Err()
}

// line returns the line if it is on the request.
func (tc *traceCmd) line(path string, fields map[string]any) (tracedLine, bool) {
	id, _ := fields["request"].(string)
	if id != tc.ID && (!tc.Calls || !strings.HasPrefix(id, tc.ID+".")) {
		return tracedLine{}, false
	}
	li := tracedLine{file: path, fields: fields}
	li.name, _ = fields["msg"].(string)
	if text, ok := fields["time"].(string); ok {
		at, err := time.Parse(time.RFC3339Nano, text)
		if err == nil {
			li.at = at
		}
	}
	for _, name := range []string{"msg", "time", "level"} {
		delete(fields, name)
	}
	if id == tc.ID {
		delete(fields, "request")
	}
	return li, true
}
