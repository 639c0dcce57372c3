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

// traceCmd prints the log entries of a request from the logs of several nodes.
type traceCmd struct {
	ID    string   `arg:"positional,required" help:"ID of the request"`
	Files []string `arg:"positional,required" help:"log files of the nodes"`
	Calls bool     `arg:"--calls" help:"also show the calls that the request made"`
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// logEntry is a log entry of the request.
type logEntry struct {
	time    time.Time
	file    string
	message string
	fields  map[string]any
}

// run prints the log entries in chronological order.
func (tc *traceCmd) run(_ context.Context, stdout, stderr io.Writer) error {
	var entries []logEntry
	for _, path := range tc.Files {
		found, skipped, err := tc.readFile(path)
		if err != nil {
			return answerer.Wrap(err, answerer.BadRequest, "read the log "+path)
		}
		if skipped > 0 {
			_, _ = fmt.Fprintf(stderr, "%s: %d lines are not JSON\n", path, skipped)
		}
		entries = append(entries, found...)
	}
	if len(entries) == 0 {
		return answerer.New(answerer.NotFound, "no log entry of request "+tc.ID)
	}
	slices.SortStableFunc(entries, func(a, b logEntry) int { return a.time.Compare(b.time) })
	for _, en := range entries {
		_, _ = fmt.Fprintf(stdout, "%s %s %s", en.time.Format("15:04:05.000"), en.file, en.message)
		names := slices.SortedFunc(maps.Keys(en.fields), cmp.Compare[string])
		for _, name := range names {
			_, _ = fmt.Fprintf(stdout, " %s=%v", name, en.fields[name])
		}
		_, _ = fmt.Fprintln(stdout)
	}
	return nil
}

// readFile returns the entries of the request in a log file and the number of
// lines that contain the ID but are not JSON.
func (tc *traceCmd) readFile(path string) (found []logEntry, skipped int, err error) {
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
		// A log collector may add a prefix to the line.
		if start := strings.IndexByte(text, '{'); start < 0 ||
			json.Unmarshal([]byte(text[start:]), &fields) != nil {
			skipped++
			continue
		}
		if en, ok := tc.parseEntry(path, fields); ok {
			found = append(found, en)
		}
	}
	return found, skipped, scanner.Err()
}

// parseEntry returns the log entry with the given fields and whether it belongs
// to the request.
func (tc *traceCmd) parseEntry(path string, fields map[string]any) (logEntry, bool) {
	id, _ := fields["request"].(string)
	if id != tc.ID && (!tc.Calls || !strings.HasPrefix(id, tc.ID+".")) {
		return logEntry{}, false
	}
	en := logEntry{file: path, fields: fields}
	en.message, _ = fields["msg"].(string)
	if text, ok := fields["time"].(string); ok {
		at, err := time.Parse(time.RFC3339Nano, text)
		if err == nil {
			en.time = at
		}
	}
	for _, name := range []string{"msg", "time", "level"} {
		delete(fields, name)
	}
	if id == tc.ID {
		delete(fields, "request")
	}
	return en, true
}
