// Package code defines the numbered result codes of redwingvale.
//
// Every response to a caller or an operator carries one code. A code defines
// an HTTP status and an outcome: whether the work ran, did not run, or may have
// run. docs/result-codes.md lists the same table; a test compares the two.
package code

import (
	"fmt"
	"net/http"
	"sort"

	"github.com/cockroachdb/errors"
)

// Outcome states whether the requested work has run.
type Outcome string

// The three outcomes. NotRun is a guarantee: the rejected request has not caused
// any work to run and never will.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// Code is a result code, written RWnnnn.
type Code int

// String returns the code as RWnnnn.
func (c Code) String() string { return fmt.Sprintf("RW%04d", int(c)) }

// The result codes by range: 0xxx success, 1xxx bad input, 2xxx rejected for
// capacity or policy, 3xxx targets and routing, 4xxx jobs, 5xxx ownership and
// journal, 6xxx configuration, 9xxx internal.
const (
	OK Code = 0

	BadRequest      Code = 1001
	BodyTooLarge    Code = 1002
	UnknownTeam     Code = 1003
	AmbiguousAlias  Code = 1004
	BadID           Code = 1005
	DeadlinePast    Code = 1006
	BadDocument     Code = 1007
	BadSettings     Code = 1008
	UnknownService  Code = 1009
	BadResources    Code = 1010
	UnknownResource Code = 1011

	QueueFull        Code = 2001
	QuotaExceeded    Code = 2002
	CannotMeetTime   Code = 2003
	NoCapacity       Code = 2004
	Draining         Code = 2005
	Overloaded       Code = 2006
	WaitTimeExceeded Code = 2007
	JobMemoryFull    Code = 2008
	OverloadedQueue  Code = 2009
	LogSlow          Code = 2010

	NoTarget        Code = 3001
	TargetRefused   Code = 3002
	AnswerLost      Code = 3003
	AnswerCutShort  Code = 3004
	TimeLimit       Code = 3005
	DuplicateKey    Code = 3006
	KeyUndecidable  Code = 3007
	HomeUnreachable Code = 3008
	AnswerNotKept   Code = 3009

	UnknownJob        Code = 4001
	JobConflict       Code = 4002
	NeverRunnable     Code = 4003
	JobCancelled      Code = 4004
	JobFailed         Code = 4005
	JobOutcomeUnknown Code = 4006
	JobAlreadyEnded   Code = 4007

	NotOwner         Code = 5001
	OwnerUnknown     Code = 5002
	JournalFull      Code = 5003
	LogUnavailable   Code = 5004
	OwnershipLost    Code = 5005
	AcceptanceUnsure Code = 5006
	RecordRejected   Code = 5007

	ConfigConflict   Code = 6001
	ConfigUnsure     Code = 6002
	ConfigNotInForce Code = 6003
	ConfigUnread     Code = 6004

	Internal Code = 9001
)

// Info is the description of a code.
type Info struct {
	Code    Code
	Name    string
	Status  int
	Outcome Outcome
	Text    string
}

var table = map[Code]Info{
	OK: {OK, "ok", http.StatusOK, Ran, "the request was carried out"},

	BadRequest:      {BadRequest, "bad_request", http.StatusBadRequest, NotRun, "the request is malformed"},
	BodyTooLarge:    {BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, NotRun, "the body is larger than the limit"},
	UnknownTeam:     {UnknownTeam, "unknown_team", http.StatusNotFound, NotRun, "no team has this name or account code"},
	AmbiguousAlias:  {AmbiguousAlias, "ambiguous_alias", http.StatusConflict, NotRun, "the account code belongs to more than one team"},
	BadID:           {BadID, "bad_id", http.StatusBadRequest, NotRun, "an id is empty, too long or has a character that is not allowed"},
	DeadlinePast:    {DeadlinePast, "deadline_past", http.StatusBadRequest, NotRun, "the deadline has already passed"},
	BadDocument:     {BadDocument, "bad_document", http.StatusUnprocessableEntity, NotRun, "the service document is not valid"},
	BadSettings:     {BadSettings, "bad_settings", http.StatusUnprocessableEntity, NotRun, "the settings file is not valid"},
	UnknownService:  {UnknownService, "unknown_service", http.StatusNotFound, NotRun, "the team has no such service"},
	BadResources:    {BadResources, "bad_resources", http.StatusBadRequest, NotRun, "a resource amount is negative or zero where it must not be"},
	UnknownResource: {UnknownResource, "unknown_resource", http.StatusNotFound, NotRun, "there is nothing at this path"},

	QueueFull:        {QueueFull, "queue_full", http.StatusTooManyRequests, NotRun, "the queue of the team's class is full"},
	QuotaExceeded:    {QuotaExceeded, "quota_exceeded", http.StatusTooManyRequests, NotRun, "the team's quota is used up and nothing can be borrowed"},
	CannotMeetTime:   {CannotMeetTime, "cannot_meet_time", http.StatusServiceUnavailable, NotRun, "the request cannot be answered before its deadline"},
	NoCapacity:       {NoCapacity, "no_capacity", http.StatusServiceUnavailable, NotRun, "no slot is free at any entry instance"},
	Draining:         {Draining, "draining", http.StatusServiceUnavailable, NotRun, "this instance is stopping"},
	Overloaded:       {Overloaded, "overloaded", http.StatusServiceUnavailable, NotRun, "the request was shed because of overload"},
	WaitTimeExceeded: {WaitTimeExceeded, "wait_time_exceeded", http.StatusGatewayTimeout, NotRun, "the request waited in the queue until its deadline"},
	JobMemoryFull:    {JobMemoryFull, "job_memory_full", http.StatusServiceUnavailable, NotRun, "accepted jobs take all the memory that an instance may use for them"},
	OverloadedQueue:  {OverloadedQueue, "overloaded_queue", http.StatusServiceUnavailable, NotRun, "there is no capacity for the job in time; repeat after Retry-After"},
	LogSlow:          {LogSlow, "log_slow", http.StatusServiceUnavailable, NotRun, "the log did not take the submission while the caller waited"},

	NoTarget:        {NoTarget, "no_target", http.StatusServiceUnavailable, NotRun, "no target of the service is reachable"},
	TargetRefused:   {TargetRefused, "target_refused", http.StatusServiceUnavailable, NotRun, "the target answered that it did not run the request"},
	AnswerLost:      {AnswerLost, "answer_lost", http.StatusBadGateway, Unknown, "the connection ended before the answer; the request may have run"},
	AnswerCutShort:  {AnswerCutShort, "answer_cut_short", http.StatusBadGateway, Unknown, "the answer was cut short; the request may have run"},
	TimeLimit:       {TimeLimit, "time_limit", http.StatusGatewayTimeout, Unknown, "no answer before the time limit; the request may have run"},
	DuplicateKey:    {DuplicateKey, "duplicate_key", http.StatusConflict, NotRun, "the idempotency key was used with other content; this request did not run"},
	KeyUndecidable:  {KeyUndecidable, "key_undecidable", http.StatusConflict, Unknown, "an earlier request with this idempotency key may have run before a takeover"},
	HomeUnreachable: {HomeUnreachable, "home_unreachable", http.StatusServiceUnavailable, NotRun, "the instance that decides on this idempotency key cannot be reached"},
	AnswerNotKept:   {AnswerNotKept, "answer_not_kept", http.StatusConflict, Ran, "the request with this idempotency key ran; its answer is no longer kept"},

	UnknownJob:        {UnknownJob, "unknown_job", http.StatusNotFound, NotRun, "the team has no job with this id"},
	JobConflict:       {JobConflict, "job_conflict", http.StatusConflict, NotRun, "a job with this id and other content exists"},
	NeverRunnable:     {NeverRunnable, "never_runnable", http.StatusUnprocessableEntity, NotRun, "no worker is large enough for one task of the job"},
	JobCancelled:      {JobCancelled, "job_cancelled", http.StatusOK, Unknown, "the job is cancelled; tasks that had started were stopped"},
	JobFailed:         {JobFailed, "job_failed", http.StatusOK, Ran, "the job ran and failed"},
	JobOutcomeUnknown: {JobOutcomeUnknown, "job_outcome_unknown", http.StatusOK, Unknown, "the worker was lost while a task ran that must not be repeated"},
	JobAlreadyEnded:   {JobAlreadyEnded, "job_already_ended", http.StatusConflict, Ran, "the job has already ended"},

	NotOwner:         {NotOwner, "not_owner", http.StatusServiceUnavailable, NotRun, "this instance does not own the worker group"},
	OwnerUnknown:     {OwnerUnknown, "owner_unknown", http.StatusServiceUnavailable, NotRun, "the worker group has no owner at the moment"},
	JournalFull:      {JournalFull, "journal_full", http.StatusServiceUnavailable, NotRun, "the journal's buffer is full"},
	LogUnavailable:   {LogUnavailable, "log_unavailable", http.StatusServiceUnavailable, NotRun, "the log service does not answer; nothing was recorded"},
	OwnershipLost:    {OwnershipLost, "ownership_lost", http.StatusServiceUnavailable, NotRun, "the worker group changed its owner; the record is void"},
	AcceptanceUnsure: {AcceptanceUnsure, "acceptance_unsure", http.StatusGatewayTimeout, Unknown, "the record may yet be accepted; repeat with the same id"},
	RecordRejected:   {RecordRejected, "record_rejected", http.StatusServiceUnavailable, NotRun, "the log rejects the record; nothing was recorded"},

	ConfigConflict:   {ConfigConflict, "config_conflict", http.StatusConflict, NotRun, "another change was accepted first"},
	ConfigUnsure:     {ConfigUnsure, "config_unsure", http.StatusGatewayTimeout, Unknown, "the change may yet be accepted; repeat with the same apply id"},
	ConfigNotInForce: {ConfigNotInForce, "config_not_in_force", http.StatusAccepted, Ran, "the change is accepted but not in force on every instance yet"},
	ConfigUnread:     {ConfigUnread, "config_unread", http.StatusServiceUnavailable, NotRun, "the configuration has not been read within its bound, so it is not known whether there is anything at this path"},

	Internal: {Internal, "internal", http.StatusInternalServerError, Unknown, "an internal error; the request may have run"},
}

// Lookup returns the description of c, or that of Internal for an unlisted code.
func Lookup(c Code) Info {
	info, ok := table[c]
	if !ok {
		return table[Internal]
	}
	return info
}

// All returns the descriptions of all codes in ascending order of code.
func All() []Info {
	out := make([]Info, 0, len(table))
	for _, info := range table {
		out = append(out, info)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Code < out[j].Code })
	return out
}

// Error is an error with a result code. Detail is safe to show to the caller.
type Error struct {
	Code   Code
	Detail string
}

// Error returns the code, its name and the detail on one line.
func (e *Error) Error() string {
	info := Lookup(e.Code)
	if e.Detail == "" {
		return e.Code.String() + " " + info.Name
	}
	return e.Code.String() + " " + info.Name + ": " + e.Detail
}

// New returns an error with code c and a formatted detail.
func New(c Code, format string, args ...any) error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Of returns the code of err: OK for nil, Internal for an error without a code.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return Internal
}
