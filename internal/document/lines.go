package document

import (
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps the path of each key, such as deadline[0].kind, to its line,
// counted from 1.
type lineIndex map[string]int

type lineScanner struct {
	parser unstable.Parser
	lines  lineIndex
	// entryCounts counts the tables of each list of tables so far.
	entryCounts map[string]int
}

// indexLines returns the line index of a document whose syntax is valid.
func indexLines(data []byte) lineIndex {
	s := &lineScanner{lines: make(lineIndex), entryCounts: make(map[string]int)}
	s.parser.Reset(data)
	table := ""
	for s.parser.NextExpression() {
		node := s.parser.Expression()
		switch node.Kind {
		case unstable.Table:
			table = s.addHeader(node, false)
		case unstable.ArrayTable:
			table = s.addHeader(node, true)
		case unstable.KeyValue:
			s.addKeyValue(table, node)
		}
	}
	return s.lines
}

// addHeader records a table header and returns the path of the table.
func (s *lineScanner) addHeader(node *unstable.Node, list bool) string {
	path := ""
	line := 0
	for keys := node.Key(); keys.Next(); {
		path = joinPath(path, string(keys.Node().Data))
		line = s.line(keys.Node())
		if keys.IsLast() && list {
			s.setLine(path, line)
			s.entryCounts[path]++
		}
		if count := s.entryCounts[path]; count > 0 {
			path = entryPath(path, count-1)
		}
	}
	s.setLine(path, line)
	return path
}

func (s *lineScanner) addKeyValue(prefix string, node *unstable.Node) {
	path := prefix
	line := 0
	for keys := node.Key(); keys.Next(); {
		path = joinPath(path, string(keys.Node().Data))
		line = s.line(keys.Node())
		s.setLine(path, line)
	}
	s.addValue(path, line, node.Value())
}

// addValue records the entries of lists and the keys of inline tables.
func (s *lineScanner) addValue(path string, line int, node *unstable.Node) {
	children := node.Children()
	switch node.Kind {
	case unstable.InlineTable:
		for children.Next() {
			s.addKeyValue(path, children.Node())
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			s.setLine(entryPath(path, i), line)
			s.addValue(entryPath(path, i), line, children.Node())
		}
	}
}

func (s *lineScanner) line(key *unstable.Node) int {
	return s.parser.Shape(key.Raw).Start.Line
}

func (s *lineScanner) setLine(path string, line int) {
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
