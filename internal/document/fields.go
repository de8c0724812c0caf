package document

// Type is the type of a key's value.
type Type string

// The types of values.
const (
	TypeString  Type = "string"
	TypeInteger Type = "integer"
	TypeFloat   Type = "number"
	TypeBool    Type = "boolean"
	TypeStrings Type = "list of strings"
	TypeTable   Type = "table"
	TypeTables  Type = "list of tables"
)

// Bounds that several keys share.
const (
	// MaxDocumentBytes bounds the size of a document.
	MaxDocumentBytes = 64 << 10
	// MaxKinds bounds the kinds of one class in a document.
	MaxKinds = 64
	// MaxTimeLimitMS is the largest time limit of an urgent request. A slot
	// granted to an unreachable instance stays reserved for that long.
	MaxTimeLimitMS = 10_000

	maxMilliCPU   = 4_000_000
	maxMemoryMiB  = 64 << 20
	maxDevices    = 10_000
	maxSlots      = 100_000
	maxConns      = 1_000_000
	taskMilliCPU  = 1_024_000
	taskMemoryMiB = 16 << 20
	maxPercent    = 1000
	secondsPerDay = 86_400
	maxRunDays    = 30
	maxQueue      = 100_000
	maxMoves      = 100
	maxList       = 64
)

// Field describes one key of the document. Key is the full path; [] denotes
// an entry of a list of tables. Min and Max bound numbers, or the length of a
// list. OneOf lists the allowed values of a string; Form is the format that a
// string must have.
type Field struct {
	Key      string
	Type     Type
	Unit     string
	Required bool
	Default  any
	Min, Max float64
	OneOf    []string
	Form     Form
	// Text describes the key. It is shown in the reference and in remedies.
	Text string
}

// Form is a format of a string.
type Form string

// The formats of strings.
const (
	FormID        Form = "id"
	FormTimeOfDay Form = "HH:MM"
	FormUTCOffset Form = "+HH:MM"
)

// Fields returns every key of a document in the order of the reference.
func Fields() []Field { return allFields }

var allFields = joinFields(
	serviceFields,
	[]Field{{Key: "quota", Type: TypeTable, Text: "What the team may reserve without borrowing."}},
	amountFields("quota.", Amount{maxMilliCPU, maxMemoryMiB, maxDevices, maxSlots, maxConns}, "No limit when 0."),
	quotaFields,
	weightFields,
	urgentFields,
	[]Field{{Key: "deadline", Type: TypeTables, Max: MaxKinds, Text: "One entry for each kind of batch job with a deadline."}, kindField("deadline[].")},
	amountFields("deadline[].", taskAmount, "Reserved for one task."),
	deadlineFields,
	[]Field{{Key: "long_running", Type: TypeTables, Max: MaxKinds, Text: "One entry for each kind of long-running job."}, kindField("long_running[].")},
	amountFields("long_running[].", taskAmount, "Reserved for one task."),
	longRunningFields,
)

var taskAmount = Amount{taskMilliCPU, taskMemoryMiB, 64, 1024, 4096}

var serviceFields = []Field{
	{Key: "team", Type: TypeString, Required: true, Form: FormID, Text: "Name of the team that owns the service."},
	{Key: "service", Type: TypeString, Required: true, Form: FormID, Text: "Name of the service, unique within the team."},
	{Key: "region", Type: TypeString, Required: true, Form: FormID, Text: "Region in which the service runs."},
	{Key: "data_centres", Type: TypeStrings, Required: true, Form: FormID, Min: 1, Max: 16, Text: "Data centres in which the service may run, the preferred one first."},
	{Key: "account_codes", Type: TypeStrings, Form: FormID, Max: maxList, Text: "Account codes of absorbed firms that callers may use instead of the team's name. Each belongs to one team."},
	{Key: "utc_offset", Type: TypeString, Form: FormUTCOffset, Default: "+00:00", Text: "Offset from UTC at which posting deadlines are meant."},
	{Key: "never_lose", Type: TypeStrings, Form: FormID, Max: 2 * maxList, Text: "Kinds whose loss is reported with the highest severity."},
}

var quotaFields = []Field{
	{Key: "quota.borrow", Type: TypeBool, Default: false, Text: "Whether the team may use idle capacity above its quota. Borrowed capacity is returned first."},
	{Key: "quota.borrow_percent", Type: TypeInteger, Unit: "percent of the quota", Default: int64(100), Max: maxPercent, Text: "Largest borrowed amount."},
}

var weightFields = []Field{
	{Key: "weights", Type: TypeTable, Text: "What matters more when both cannot be had. The sum is 1."},
	{Key: "weights.tail", Type: TypeFloat, Default: 0.5, Max: 1, Text: "Weight of a low tail latency."},
	{Key: "weights.evictions", Type: TypeFloat, Default: 0.5, Max: 1, Text: "Weight of few evictions."},
}

var urgentFields = []Field{
	{Key: "urgent", Type: TypeTable, Text: "Present when the service answers urgent requests."},
	{Key: "urgent.time_limit_ms", Type: TypeInteger, Unit: "ms", Required: true, Min: 50, Max: MaxTimeLimitMS, Text: "A request without an answer ends with RW3005 after this time."},
	{Key: "urgent.queue_limit", Type: TypeInteger, Unit: "requests per instance", Required: true, Min: 1, Max: maxQueue, Text: "Requests that may wait; one more is rejected with RW2001."},
	{Key: "urgent.idempotent_by_default", Type: TypeBool, Default: false, Text: "Whether a request that does not say may be sent more than once."},
	{Key: "urgent.target_p99_ms", Type: TypeInteger, Unit: "ms", Default: int64(0), Max: MaxTimeLimitMS, Text: "Tail latency that placement protects; 0 for none."},
}

var deadlineFields = []Field{
	{Key: "deadline[].run_time_s", Type: TypeInteger, Unit: "s", Required: true, Min: 1, Max: maxRunDays * secondsPerDay, Text: "Declared run time of one task, for the first predictions."},
	{Key: "deadline[].restart", Type: TypeString, Default: string(FromCheckpoint), OneOf: restarts, Text: "What happens to a task whose worker was lost."},
	{Key: "deadline[].posting_deadline", Type: TypeString, Form: FormTimeOfDay, Default: "", Text: "Time of day by which a job without a deadline of its own must finish."},
}

var longRunningFields = []Field{
	{Key: "long_running[].restart", Type: TypeString, Default: string(FromStart), OneOf: restarts, Text: "What happens to a task whose worker was lost."},
	{Key: "long_running[].max_moves_per_day", Type: TypeInteger, Unit: "moves", Default: int64(4), Min: 1, Max: maxMoves, Text: "Most planned moves of one task in 24 hours."},
}

var restarts = []string{string(FromCheckpoint), string(FromStart)}

func kindField(prefix string) Field {
	return Field{Key: prefix + "kind", Type: TypeString, Required: true, Form: FormID, Text: "Name of the kind, unique within the document."}
}

// amountFields returns the five resource keys under a prefix.
func amountFields(prefix string, limit Amount, text string) []Field {
	zero := int64(0)
	return []Field{
		{Key: prefix + "milli_cpu", Type: TypeInteger, Unit: "thousandths of a core", Default: zero, Max: float64(limit.MilliCPU), Text: "Processors. " + text},
		{Key: prefix + "memory_mib", Type: TypeInteger, Unit: "MiB", Default: zero, Max: float64(limit.MemoryMiB), Text: "Memory. " + text},
		{Key: prefix + "accelerators", Type: TypeInteger, Unit: "devices", Default: zero, Max: float64(limit.Accelerators), Text: "Accelerators. " + text},
		{Key: prefix + "slots", Type: TypeInteger, Unit: "slots", Default: zero, Max: float64(limit.Slots), Text: "Slots. " + text},
		{Key: prefix + "connections", Type: TypeInteger, Unit: "connections", Default: zero, Max: float64(limit.Connections), Text: "Connections. " + text},
	}
}

func joinFields(parts ...[]Field) []Field {
	var out []Field
	for _, part := range parts {
		out = append(out, part...)
	}
	return out
}
