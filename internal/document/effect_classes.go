package document

func (e *effects) urgent(old, new *Urgent) {
	switch {
	case old == nil && new == nil:
		return
	case new == nil:
		e.add("urgent", "used", "", "urgent requests of the service are rejected with RW1009")
		return
	case old == nil:
		e.add("urgent", "", "used", "urgent requests are accepted, with a time limit of %s and at most %d waiting per instance",
			formatDuration(new.TimeLimit()), new.QueueLimit)
		old = &Urgent{TimeLimitMS: new.TimeLimitMS, QueueLimit: new.QueueLimit}
	}
	e.urgentLatency(old, new)
	e.urgentQueue(old, new)
	switch {
	case !old.IdempotentByDefault && new.IdempotentByDefault:
		e.add("urgent.idempotent_by_default", "false", "true", "a request that does not say may now be retried and hedged, so it may run more than once")
	case old.IdempotentByDefault && !new.IdempotentByDefault:
		e.add("urgent.idempotent_by_default", "true", "false", "a request that does not say runs at most once; when its answer is lost it ends with RW3003 instead of a retry")
	}
}

func (e *effects) urgentLatency(old, new *Urgent) {
	before, after := formatDuration(old.TimeLimit()), formatDuration(new.TimeLimit())
	switch {
	case new.TimeLimitMS < old.TimeLimitMS:
		e.add("urgent.time_limit_ms", formatInt(old.TimeLimitMS), formatInt(new.TimeLimitMS),
			"urgent time limit falls from %s to %s: requests longer than that end with RW3005", before, after)
	case new.TimeLimitMS > old.TimeLimitMS:
		e.add("urgent.time_limit_ms", formatInt(old.TimeLimitMS), formatInt(new.TimeLimitMS),
			"urgent time limit rises from %s to %s: a request without an answer holds its slot for longer", before, after)
	}
	if new.TargetP99MS == old.TargetP99MS {
		return
	}
	text := "placement protects a p99 of " + formatDuration(new.TargetP99())
	if new.TargetP99MS == 0 {
		text = "placement no longer protects a tail latency of this service"
	} else if old.TargetP99MS != 0 {
		text += " instead of " + formatDuration(old.TargetP99())
	}
	e.add("urgent.target_p99_ms", formatInt(old.TargetP99MS), formatInt(new.TargetP99MS), "%s", text)
}

func (e *effects) urgentQueue(old, new *Urgent) {
	switch {
	case new.QueueLimit < old.QueueLimit:
		e.add("urgent.queue_limit", formatInt(old.QueueLimit), formatInt(new.QueueLimit),
			"at most %d requests wait per instance instead of %d: more are rejected with RW2001, and those that wait do so for a shorter time", new.QueueLimit, old.QueueLimit)
	case new.QueueLimit > old.QueueLimit:
		e.add("urgent.queue_limit", formatInt(old.QueueLimit), formatInt(new.QueueLimit),
			"up to %d requests wait per instance instead of %d: fewer are rejected with RW2001, and waits may be longer", new.QueueLimit, old.QueueLimit)
	}
}

func (e *effects) deadlineKinds(old, new *Document) {
	for _, k := range old.Deadline {
		if _, kept := new.DeadlineKind(k.Kind); !kept {
			e.removedKind("deadline", k.Kind)
		}
	}
	for _, k := range new.Deadline {
		key := "deadline." + k.Kind
		before, known := old.DeadlineKind(k.Kind)
		if !known {
			e.add(key, "", "used", "batch jobs of kind %s are accepted", k.Kind)
			e.postingDeadline(key, Deadline{}, k)
			continue
		}
		e.amount(key, before.Amount, k.Amount)
		e.restart(key, k.Kind, before.Restart, k.Restart)
		if before.RunTimeS != k.RunTimeS {
			e.add(key+".run_time_s", formatInt(before.RunTimeS), formatInt(k.RunTimeS),
				"tasks of %s are first predicted to run %s instead of %s, until their real run time is learned", k.Kind, formatDuration(k.RunTime()), formatDuration(before.RunTime()))
		}
		e.postingDeadline(key, before, k)
	}
}

func (e *effects) postingDeadline(key string, old, new Deadline) {
	if old.PostingDeadline == new.PostingDeadline {
		return
	}
	text := "new jobs of " + new.Kind + " without a deadline of their own must finish by " + new.PostingDeadline
	if new.PostingDeadline == "" {
		text = "new jobs of " + new.Kind + " have no deadline unless they state one, and run after all that have"
	}
	e.add(key+".posting_deadline", old.PostingDeadline, new.PostingDeadline, "%s", text)
}

func (e *effects) longRunningKinds(old, new *Document) {
	for _, k := range old.LongRunning {
		if _, kept := new.LongRunningKind(k.Kind); !kept {
			e.removedKind("long_running", k.Kind)
		}
	}
	for _, k := range new.LongRunning {
		key := "long_running." + k.Kind
		before, known := old.LongRunningKind(k.Kind)
		if !known {
			e.add(key, "", "used", "long-running jobs of kind %s are accepted", k.Kind)
			continue
		}
		e.amount(key, before.Amount, k.Amount)
		e.restart(key, k.Kind, before.Restart, k.Restart)
		if before.MaxMovesPerDay != k.MaxMovesPerDay {
			e.add(key+".max_moves_per_day", formatInt(before.MaxMovesPerDay), formatInt(k.MaxMovesPerDay),
				"a task of %s is moved on purpose at most %d times a day instead of %d; the lowest bound of all kinds applies to the service", k.Kind, k.MaxMovesPerDay, before.MaxMovesPerDay)
		}
	}
}

func (e *effects) removedKind(class, kind string) {
	e.add(class+"."+kind, "used", "", "new jobs of kind %s are rejected with RW1001; jobs accepted before run to their end", kind)
}

func (e *effects) amount(key string, old, new Amount) {
	for _, dim := range amountDims {
		before, after := dim.get(old), dim.get(new)
		if before != after {
			e.add(key+"."+dim.key, formatInt(before), formatInt(after), "a task of jobs submitted from then on reserves %d %s instead of %d", after, dim.unit, before)
		}
	}
}

func (e *effects) restart(key, kind string, old, new Restart) {
	if old == new {
		return
	}
	text := "a task of " + kind + " whose worker is lost runs again from its start; what it did before may happen twice"
	if new == FromCheckpoint {
		text = "a task of " + kind + " whose worker is lost resumes from its checkpoint; without one it ends with RW4006"
	}
	e.add(key+".restart", string(old), string(new), "%s", text)
}
