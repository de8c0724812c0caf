// Package settings reads TOML settings files and validates them completely
// before a program starts. The error for an invalid file lists every unknown key
// or every wrong value, each with file, line, key, value and expected value.
package settings

import (
	"fmt"
	"net"
	"os"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"redwingvale/internal/code"
)

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// Checker is implemented by settings that validate their values.
type Checker interface {
	// Check adds each invalid value to problems.
	Check(problems *Problems)
}

// Problem is one invalid entry of a settings file.
type Problem struct {
	Line  int
	Key   string
	Value string
	Want  string
}

// Problems collects the problems of one settings file.
type Problems struct {
	file  string
	lines map[string]int
	found []Problem
}

// Add records that the value of a key is invalid and describes what is expected.
// The key is dotted, for example "log.delay_ms".
func (p *Problems) Add(key string, value any, want string) {
	p.found = append(p.found, Problem{
		Line:  p.lines[key],
		Key:   key,
		Value: fmt.Sprint(value),
		Want:  want,
	})
}

// Address adds a problem unless value is an IP address with a port.
func (p *Problems) Address(key, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		p.Add(key, value, `an IP address and a port, such as "127.0.0.1:7100"`)
	}
}

// Range adds a problem unless low <= value <= high.
func (p *Problems) Range(key string, value, low, high int64) {
	if value < low || value > high {
		p.Add(key, value, fmt.Sprintf("a number from %d to %d", low, high))
	}
}

// Required adds a problem if value is empty or only white space.
func (p *Problems) Required(key, value string) {
	if strings.TrimSpace(value) == "" {
		p.Add(key, `""`, "a value that is not empty")
	}
}

// Err returns the problems as one error with code.BadSettings, or nil.
func (p *Problems) Err() error {
	if len(p.found) == 0 {
		return nil
	}
	lines := make([]string, 0, len(p.found))
	for _, f := range p.found {
		lines = append(lines, fmt.Sprintf("%s:%d: %s = %s: want %s", p.file, f.Line, f.Key, f.Value, f.Want))
	}
	return code.New(code.BadSettings, "%s", strings.Join(lines, "\n"))
}

// Load reads the file at path into the struct that into points to, rejects
// unknown keys and calls Check if into implements Checker. Fields that the file
// does not set keep their previous values.
func Load(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	if len(data) > maxFileBytes {
		return code.New(code.BadSettings, "%s: larger than %d bytes", path, maxFileBytes)
	}
	return Parse(path, data, into)
}

// Parse is like Load, but takes the content of the file. The name of the file
// appears in errors only.
func Parse(file string, data []byte, into any) error {
	problems := &Problems{file: file, lines: keyLines(data)}
	decoder := toml.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return decodeError(problems, err, into)
	}
	if checker, ok := into.(Checker); ok {
		checker.Check(problems)
	}
	return problems.Err()
}

func decodeError(problems *Problems, err error, into any) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		known := strings.Join(KnownKeys(into), ", ")
		for _, e := range strict.Errors {
			problems.Add(strings.Join(e.Key(), "."), "(unknown key)", "one of "+known)
		}
		return problems.Err()
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		key := strings.Join(decodeErr.Key(), ".")
		text := fmt.Sprintf("%s:%d: %s: %s", problems.file, line, key, decodeErr.Error())
		return code.New(code.BadSettings, "%s", text)
	}
	return code.New(code.BadSettings, "%s: %s", problems.file, err)
}

// KnownKeys returns the dotted keys of a settings struct.
func KnownKeys(into any) []string {
	typ := reflect.TypeOf(into)
	for typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	return structKeys(typ, "")
}

func structKeys(typ reflect.Type, prefix string) []string {
	var keys []string
	for i := range typ.NumField() {
		field := typ.Field(i)
		if field.Anonymous {
			keys = append(keys, structKeys(field.Type, prefix)...)
			continue
		}
		name := field.Tag.Get("toml")
		if name == "" || name == "-" {
			continue
		}
		if field.Type.Kind() == reflect.Struct {
			keys = append(keys, structKeys(field.Type, prefix+name+".")...)
			continue
		}
		keys = append(keys, prefix+name)
	}
	return keys
}

// keyLines returns the line number of each dotted key in the document.
func keyLines(data []byte) map[string]int {
	lines := make(map[string]int)
	parser := unstable.Parser{}
	parser.Reset(data)
	var table []string
	for parser.NextExpression() {
		expression := parser.Expression()
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = keyParts(expression.Key())
		case unstable.KeyValue:
			parts := append(append([]string(nil), table...), keyParts(expression.Key())...)
			lines[strings.Join(parts, ".")] = keyLine(&parser, expression)
		}
	}
	return lines
}

func keyLine(parser *unstable.Parser, expression *unstable.Node) int {
	key := expression.Key()
	if !key.Next() {
		return 0
	}
	return parser.Shape(key.Node().Raw).Start.Line
}

func keyParts(it unstable.Iterator) []string {
	var parts []string
	for it.Next() {
		parts = append(parts, string(it.Node().Data))
	}
	return parts
}
