package sched

import (
	"github.com/cockroachdb/errors"

	"redwingvale/internal/code"
)

// detailOf returns the part of an error's text that follows its code.
func detailOf(err error) string {
	var coded *code.Error
	if errors.As(err, &coded) {
		return coded.Detail
	}
	return "internal error"
}
