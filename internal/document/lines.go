package document

import (
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps the path of each key to its line, counted from 1. A path is
// for example deadline[0].kind.
type lineIndex map[string]int

type lineScanner struct {
	parser unstable.Parser
	lines  lineIndex
	// entries counts the tables of each list of tables so far.
	entries map[string]int
}

// indexLines reads the lines of a document whose syntax is valid.
func indexLines(data []byte) lineIndex {
	s := &lineScanner{lines: make(lineIndex), entries: make(map[string]int)}
	s.parser.Reset(data)
	table := ""
	for s.parser.NextExpression() {
		node := s.parser.Expression()
		switch node.Kind {
		case unstable.Table:
			table = s.header(node, false)
		case unstable.ArrayTable:
			table = s.header(node, true)
		case unstable.KeyValue:
			s.keyValue(table, node)
		}
	}
	return s.lines
}

// header records a table header and returns the path of the table.
func (s *lineScanner) header(node *unstable.Node, list bool) string {
	path := ""
	line := 0
	for keys := node.Key(); keys.Next(); {
		path = joinPath(path, string(keys.Node().Data))
		line = s.line(keys.Node())
		if keys.IsLast() && list {
			s.note(path, line)
			s.entries[path]++
		}
		if count := s.entries[path]; count > 0 {
			path = entryPath(path, count-1)
		}
	}
	s.note(path, line)
	return path
}

func (s *lineScanner) keyValue(prefix string, node *unstable.Node) {
	path := prefix
	line := 0
	for keys := node.Key(); keys.Next(); {
		path = joinPath(path, string(keys.Node().Data))
		line = s.line(keys.Node())
		s.note(path, line)
	}
	s.value(path, line, node.Value())
}

// value records the keys inside inline tables and lists of them.
func (s *lineScanner) value(path string, line int, node *unstable.Node) {
	children := node.Children()
	switch node.Kind {
	case unstable.InlineTable:
		for children.Next() {
			s.keyValue(path, children.Node())
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			s.note(entryPath(path, i), line)
			s.value(entryPath(path, i), line, children.Node())
		}
	}
}

func (s *lineScanner) line(key *unstable.Node) int {
	return s.parser.Shape(key.Raw).Start.Line
}

func (s *lineScanner) note(path string, line int) {
	if _, known := s.lines[path]; !known {
		s.lines[path] = line
	}
}

func joinPath(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

func entryPath(path string, index int) string {
	return path + "[" + strconv.Itoa(index) + "]"
}
