package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// printJSON writes a value as indented JSON.
func (c *command) printJSON(value any) error {
	encoder := json.NewEncoder(c.stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// marshalProtoJSON encodes a message as JSON with the field names of its proto
// definition.
func marshalProtoJSON(message proto.Message) (json.RawMessage, error) {
	return protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
}

// table prints rows in aligned columns under a header.
func (c *command) table(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func (c *command) line(format string, args ...any) {
	fmt.Fprintf(c.stdout, format+"\n", args...)
}

// millis formats a number of milliseconds as a duration.
func millis(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// printResponses prints the response or the error of each instance as JSON.
func printResponses[T any, M interface {
	*T
	proto.Message
}](c *command, responses []instanceResponse[T]) error {
	type entry struct {
		Address string          `json:"address"`
		Error   string          `json:"error,omitempty"`
		Status  json.RawMessage `json:"status,omitempty"`
	}
	out := make([]entry, 0, len(responses))
	for _, r := range responses {
		one := entry{Address: r.address}
		if r.err != nil {
			one.Error = r.err.Error()
		} else {
			status, err := marshalProtoJSON(M(r.value))
			if err != nil {
				return err
			}
			one.Status = status
		}
		out = append(out, one)
	}
	return c.printJSON(out)
}
