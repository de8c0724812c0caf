package document

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"redwingvale/internal/spec"
)

// maxValueBytes bounds the length of a value in a problem.
const maxValueBytes = 60

// checker collects the problems of one document.
type checker struct {
	lines    lineIndex
	problems Problems
	// faulty holds the paths for which a problem has been reported.
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

// valid reports whether none of the paths has a problem.
func (c *checker) valid(paths ...string) bool {
	for _, path := range paths {
		if c.faulty[path] {
			return false
		}
	}
	return true
}

// checkTable checks each key of one table, removes the faulty ones and fills in
// defaults, so that the rules can still be applied to the rest.
func (c *checker) checkTable(path, pattern string, values map[string]any) {
	for _, key := range sortedKeys(values) {
		full := joinPath(path, key)
		field, known := fieldByKey[joinPath(pattern, key)]
		if !known {
			c.add(full, formatValue(values[key]), "unknown key", suggest(joinPath(pattern, key)))
			delete(values, key)
			continue
		}
		if !c.checkValue(full, field, values[key]) {
			delete(values, key)
		}
	}
	c.completeTable(path, pattern, values)
}

// completeTable reports missing keys of a table and fills in defaults.
func (c *checker) completeTable(path, pattern string, values map[string]any) {
	for _, field := range childrenOf[pattern] {
		key := field.Key[strings.LastIndex(field.Key, ".")+1:]
		full := joinPath(path, key)
		if _, given := values[key]; given {
			continue
		}
		if field.Required && c.valid(full) {
			c.addMissing(path, full, field)
		}
		if field.Default != nil {
			values[key] = field.Default
		}
	}
	if pattern == "" {
		c.addDefaultTables(values)
	}
}

// addDefaultTables adds the tables that every document has.
func (c *checker) addDefaultTables(values map[string]any) {
	for _, name := range []string{"quota", "weights"} {
		if _, given := values[name]; !given {
			table := map[string]any{}
			c.checkTable(name, name, table)
			values[name] = table
		}
	}
}

func (c *checker) addMissing(table, full string, field *Field) {
	c.add(full, "", "missing", "add "+full+": "+field.Text)
	c.problems[len(c.problems)-1].Line = c.lines[table]
}

// checkValue checks one value against its field and reports whether it is
// usable.
func (c *checker) checkValue(path string, field *Field, value any) bool {
	before := len(c.problems)
	switch field.Type {
	case TypeTable:
		table, ok := value.(map[string]any)
		if !ok {
			return c.addWrongType(path, field, value)
		}
		c.checkTable(path, field.Key, table)
		return true
	case TypeTables:
		return c.checkTables(path, field, value)
	case TypeStrings:
		c.checkList(path, field, value)
	case TypeString:
		c.checkString(path, path, field, value)
	case TypeInteger, TypeFloat:
		c.checkNumber(path, field, value)
	case TypeBool:
		if _, ok := value.(bool); !ok {
			c.addWrongType(path, field, value)
		}
	}
	return len(c.problems) == before
}

func (c *checker) checkTables(path string, field *Field, value any) bool {
	list, ok := value.([]any)
	if !ok {
		return c.addWrongType(path, field, value)
	}
	if float64(len(list)) > field.Max {
		c.add(path, "", fmt.Sprintf("%d entries", len(list)), "at most "+formatNumber(field.Max)+" are allowed")
		return false
	}
	usable := true
	for i, entry := range list {
		table, isTable := entry.(map[string]any)
		if !isTable {
			usable = c.addWrongType(entryPath(path, i), field, entry)
			c.faulty[path] = true
			continue
		}
		c.checkTable(entryPath(path, i), field.Key+"[]", table)
	}
	return usable
}

func (c *checker) checkList(path string, field *Field, value any) {
	list, ok := value.([]any)
	if !ok {
		c.addWrongType(path, field, value)
		return
	}
	if size := float64(len(list)); size < field.Min || size > field.Max {
		c.add(path, "", fmt.Sprintf("%d entries", len(list)), "give "+formatNumber(field.Min)+" to "+formatNumber(field.Max)+" entries")
	}
	seen := make(map[string]bool, len(list))
	for i, entry := range list {
		c.checkString(path, entryPath(path, i), field, entry)
		text, isText := entry.(string)
		if isText && seen[text] {
			c.add(path, quoted(text), "listed twice", "remove one of the two")
		}
		seen[text] = true
	}
}

// checkString checks a string. owner is the key that is marked as faulty.
func (c *checker) checkString(owner, path string, field *Field, value any) {
	text, ok := value.(string)
	if !ok {
		c.faulty[owner] = true
		c.addWrongType(path, &Field{Type: TypeString, Text: field.Text}, value)
		return
	}
	fault, remedy := checkText(field, text)
	if fault != "" {
		c.faulty[owner] = true
		c.add(path, quoted(text), fault, remedy)
	}
}

func (c *checker) checkNumber(path string, field *Field, value any) {
	amount, ok := toNumber(field.Type, value)
	if !ok {
		c.addWrongType(path, field, value)
		return
	}
	// NaN fails both comparisons and so is out of bounds.
	if amount >= field.Min && amount <= field.Max {
		return
	}
	remedy := "use " + formatNumber(field.Min) + " to " + formatNumber(field.Max)
	if field.Unit != "" {
		remedy += " " + field.Unit
	}
	c.add(path, formatValue(value), "out of bounds", remedy)
}

func (c *checker) addWrongType(path string, field *Field, value any) bool {
	c.add(path, formatValue(value), "wrong type", "give a value of type "+string(field.Type)+": "+field.Text)
	return false
}

func checkText(field *Field, text string) (fault, remedy string) {
	switch {
	case len(field.OneOf) > 0 && !containsString(field.OneOf, text):
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

func formatValue(value any) string {
	switch v := value.(type) {
	case string:
		return quoted(v)
	case map[string]any:
		return "a table"
	case []any:
		return fmt.Sprintf("a list of %d", len(v))
	default:
		return truncate(fmt.Sprint(v))
	}
}

func quoted(text string) string { return truncate(strconv.Quote(text)) }

func truncate(text string) string {
	if len(text) <= maxValueBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxValueBytes], "") + "..."
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func containsString(list []string, want string) bool {
	for _, entry := range list {
		if entry == want {
			return true
		}
	}
	return false
}
