package document

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"redwingvale/internal/spec"
)

// maxShown bounds the length of a value in a problem, in bytes.
const maxShown = 60

// checker collects the problems of one document.
type checker struct {
	lines    lineIndex
	problems Problems
	// faulty holds the paths that have a problem already.
	faulty map[string]bool
}

func newChecker(lines lineIndex) *checker {
	return &checker{lines: lines, faulty: make(map[string]bool)}
}

func (c *checker) add(path, value, fault, remedy string) {
	c.faulty[path] = true
	c.problems = append(c.problems, Problem{
		Line: c.lines[path], Key: path, Value: value, Fault: fault, Remedy: remedy,
	})
}

// sound reports whether none of the paths has a problem.
func (c *checker) sound(paths ...string) bool {
	for _, path := range paths {
		if c.faulty[path] {
			return false
		}
	}
	return true
}

// table checks each key of one table, removes the faulty ones and fills in
// defaults, so that the rules can still be applied to the rest.
func (c *checker) table(path, pat string, values map[string]any) {
	for _, key := range sortedKeys(values) {
		full := joinPath(path, key)
		field, known := fieldByKey[joinPath(pat, key)]
		if !known {
			c.add(full, show(values[key]), "unknown key", suggest(joinPath(pat, key)))
			delete(values, key)
			continue
		}
		if !c.value(full, field, values[key]) {
			delete(values, key)
		}
	}
	c.complete(path, pat, values)
}

// complete reports missing keys of a table and fills in defaults.
func (c *checker) complete(path, pat string, values map[string]any) {
	for _, field := range childrenOf[pat] {
		key := field.Key[strings.LastIndex(field.Key, ".")+1:]
		full := joinPath(path, key)
		if _, given := values[key]; given {
			continue
		}
		if field.Required && c.sound(full) {
			c.missing(path, full, field)
		}
		if field.Default != nil {
			values[key] = field.Default
		}
	}
	if pat == "" {
		c.defaultTables(values)
	}
}

// defaultTables adds the tables that every document has.
func (c *checker) defaultTables(values map[string]any) {
	for _, name := range []string{"quota", "weights"} {
		if _, given := values[name]; !given {
			table := map[string]any{}
			c.table(name, name, table)
			values[name] = table
		}
	}
}

func (c *checker) missing(table, full string, field *Field) {
	c.add(full, "", "missing", "add "+full+": "+field.Text)
	c.problems[len(c.problems)-1].Line = c.lines[table]
}

// value checks one value against its field and reports whether it is usable.
func (c *checker) value(path string, field *Field, value any) bool {
	before := len(c.problems)
	switch field.Type {
	case TypeTable:
		table, ok := value.(map[string]any)
		if !ok {
			return c.wrongType(path, field, value)
		}
		c.table(path, field.Key, table)
		return true
	case TypeTables:
		return c.tables(path, field, value)
	case TypeStrings:
		c.list(path, field, value)
	case TypeString:
		c.text(path, path, field, value)
	case TypeInteger, TypeFloat:
		c.number(path, field, value)
	case TypeBool:
		if _, ok := value.(bool); !ok {
			c.wrongType(path, field, value)
		}
	}
	return len(c.problems) == before
}

func (c *checker) tables(path string, field *Field, value any) bool {
	list, ok := value.([]any)
	if !ok {
		return c.wrongType(path, field, value)
	}
	if float64(len(list)) > field.Max {
		c.add(path, "", fmt.Sprintf("%d entries", len(list)), "at most "+number(field.Max)+" are allowed")
		return false
	}
	usable := true
	for i, entry := range list {
		table, isTable := entry.(map[string]any)
		if !isTable {
			usable = c.wrongType(entryPath(path, i), field, entry)
			c.faulty[path] = true
			continue
		}
		c.table(entryPath(path, i), field.Key+"[]", table)
	}
	return usable
}

func (c *checker) list(path string, field *Field, value any) {
	list, ok := value.([]any)
	if !ok {
		c.wrongType(path, field, value)
		return
	}
	if size := float64(len(list)); size < field.Min || size > field.Max {
		c.add(path, "", fmt.Sprintf("%d entries", len(list)), "give "+number(field.Min)+" to "+number(field.Max)+" entries")
	}
	seen := make(map[string]bool, len(list))
	for i, entry := range list {
		c.text(path, entryPath(path, i), field, entry)
		text, isText := entry.(string)
		if isText && seen[text] {
			c.add(path, quoted(text), "listed twice", "remove one of the two")
		}
		seen[text] = true
	}
}

// text checks a string. owner is the key that is marked as faulty.
func (c *checker) text(owner, path string, field *Field, value any) {
	text, ok := value.(string)
	if !ok {
		c.faulty[owner] = true
		c.wrongType(path, &Field{Type: TypeString, Text: field.Text}, value)
		return
	}
	fault, remedy := checkText(field, text)
	if fault != "" {
		c.faulty[owner] = true
		c.add(path, quoted(text), fault, remedy)
	}
}

func (c *checker) number(path string, field *Field, value any) {
	amount, ok := toNumber(field.Type, value)
	if !ok {
		c.wrongType(path, field, value)
		return
	}
	// The comparison is written so that NaN is out of bounds.
	if amount >= field.Min && amount <= field.Max {
		return
	}
	remedy := "use " + number(field.Min) + " to " + number(field.Max)
	if field.Unit != "" {
		remedy += " " + field.Unit
	}
	c.add(path, show(value), "out of bounds", remedy)
}

func (c *checker) wrongType(path string, field *Field, value any) bool {
	c.add(path, show(value), "wrong type", "give a value of type "+string(field.Type)+": "+field.Text)
	return false
}

func checkText(field *Field, text string) (fault, remedy string) {
	switch {
	case len(field.OneOf) > 0 && !contains(field.OneOf, text):
		return "not a known value", "use one of " + strings.Join(field.OneOf, ", ")
	case field.Form == FormID && !spec.ValidID(text):
		return "not a valid name", "use 1 to 128 letters, digits and . _ : @ + - and start with a letter or a digit"
	case field.Form == FormUTCOffset && !validOffset(text):
		return "not an offset from UTC", "use +HH:MM or -HH:MM within 14 hours, for example +09:00"
	case field.Form == FormTimeOfDay && text != "" && !validTimeOfDay(text):
		return "not a time of day", "use HH:MM from 00:00 to 23:59"
	default:
		return "", ""
	}
}

func toNumber(kind Type, value any) (float64, bool) {
	switch v := value.(type) {
	case int64:
		return float64(v), true
	case float64:
		return v, kind == TypeFloat
	default:
		return 0, false
	}
}

func sortedKeys(values map[string]any) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func show(value any) string {
	switch v := value.(type) {
	case string:
		return quoted(v)
	case map[string]any:
		return "a table"
	case []any:
		return fmt.Sprintf("a list of %d", len(v))
	default:
		return clip(fmt.Sprint(v))
	}
}

func quoted(text string) string { return clip(strconv.Quote(text)) }

func clip(text string) string {
	if len(text) <= maxShown {
		return text
	}
	return strings.ToValidUTF8(text[:maxShown], "") + "..."
}

func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func contains(list []string, want string) bool {
	for _, entry := range list {
		if entry == want {
			return true
		}
	}
	return false
}
