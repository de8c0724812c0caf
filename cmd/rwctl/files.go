package main

import (
	"os"
	"path/filepath"
	"sort"
	"strings"

	"redwingvale/internal/config"
	"redwingvale/internal/document"
)

// file is one document file with its parsed document and its problems.
type file struct {
	Path     string            `json:"file"`
	Problems document.Problems `json:"problems"`
	text     []byte
	doc      *document.Document
}

func (f *file) key() config.Key {
	return config.Key{Team: f.doc.TeamID(), Service: f.doc.ServiceID()}
}

// readFiles reads and parses documents. A directory stands for all *.toml files
// below it.
func readFiles(args []string) ([]*file, error) {
	if len(args) == 0 {
		return nil, usageError("name at least one document or directory")
	}
	var paths []string
	for _, arg := range args {
		found, err := findDocuments(arg)
		if err != nil {
			return nil, usageError("%s", err.Error())
		}
		paths = append(paths, found...)
	}
	if len(paths) == 0 {
		return nil, usageError("there is no *.toml file in %s", strings.Join(args, ", "))
	}
	var out []*file
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, usageError("%s", err.Error())
		}
		f := &file{Path: path, text: text}
		f.doc, f.Problems = document.Parse(text)
		out = append(out, f)
	}
	checkAcrossFiles(out)
	return out, nil
}

func findDocuments(arg string) ([]string, error) {
	info, err := os.Stat(arg)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{arg}, nil
	}
	var out []string
	err = filepath.WalkDir(arg, func(path string, entry os.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && filepath.Ext(path) == ".toml" {
			out = append(out, path)
		}
		return err
	})
	sort.Strings(out)
	return out, err
}

// checkAcrossFiles adds the problems that concern several files: services and
// names that occur more than once.
func checkAcrossFiles(files []*file) {
	first := make(map[config.Key]string)
	for _, f := range files {
		if f.doc == nil {
			continue
		}
		if other, taken := first[f.key()]; taken {
			f.Problems = append(f.Problems, document.Problem{
				Key: "service", Value: f.key().String(),
				Fault: "the service is already described by " + other, Remedy: "keep one document per service",
			})
			continue
		}
		first[f.key()] = f.Path
	}
	checkNames(files)
}

// checkNames adds a problem to every file that uses an ambiguous name, that is,
// one that stands for several teams.
func checkNames(files []*file) {
	var docs []*document.Document
	for _, f := range files {
		if f.doc != nil {
			docs = append(docs, f.doc)
		}
	}
	directory := document.NewDirectory(docs)
	for _, f := range files {
		if f.doc == nil {
			continue
		}
		for _, name := range append([]string{f.doc.Team}, f.doc.AccountCodes...) {
			if _, err := directory.Resolve(name); err != nil {
				f.Problems = append(f.Problems, document.Problem{
					Key: "account_codes", Value: name, Fault: err.Error(), Remedy: "leave the code to one team",
				})
			}
		}
	}
}

// showProblems prints the problems of all files and, if there are any, returns an
// error that sets the exit code.
func (c *command) showProblems(files []*file) error {
	found := false
	for _, f := range files {
		for _, p := range f.Problems {
			found = true
			c.line("%s: %s", f.Path, p)
		}
	}
	if found {
		return exitWith(exitInvalid)
	}
	return nil
}

// rejectInvalid fails if any file has problems, and prints them as text or, with
// -json, as JSON.
func (c *command) rejectInvalid(files []*file) error {
	for _, f := range files {
		if len(f.Problems) == 0 {
			continue
		}
		if !c.settings.json {
			return c.showProblems(files)
		}
		if err := c.printJSON(map[string]any{"valid": false, "files": withEmptyProblems(files)}); err != nil {
			return err
		}
		return exitWith(exitInvalid)
	}
	return nil
}

// withEmptyProblems replaces nil problem lists by empty ones, so that JSON shows
// [] rather than null.
func withEmptyProblems(files []*file) []*file {
	for _, f := range files {
		if f.Problems == nil {
			f.Problems = document.Problems{}
		}
	}
	return files
}
