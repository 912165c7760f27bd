package soak

import (
	"strconv"
	"time"
)

const (
	// softwareVersions is the number of software versions of the instances.
	softwareVersions = 2
	// maxResumes is how often a caller resumes one stream, and resumeWithin how long after its begin.
	maxResumes   = 3
	resumeWithin = 6 * time.Second
	resumePause  = 150 * time.Millisecond
)

// softwareOf returns the version of the instance that was started as the given one. An instance that starts again
// has another version.
func softwareOf(started int) string {
	return "v" + strconv.Itoa(1+started%softwareVersions)
}

// resume goes on with a stream that broke off after its first event, at whichever node the directory names.
func (c *caller) resume(r *request) {
	began := r
	for range maxResumes {
		if r.kind != kindStream || r.status != 0 && r.status/100 != 5 || r.after == 0 || r.after == streamEvents {
			return
		}
		if time.Since(began.sent) > resumeWithin || c.h.endedWithin(resumePause) || !c.connect() {
			return
		}
		next := c.newRequest()
		next.kind, next.timeout, next.workspace, next.key = kindStream, r.timeout, r.workspace, r.key
		next.prompt, next.output, next.target, next.body = r.prompt, r.output, r.target, r.body
		next.resumes, next.after, next.software = began, r.after, r.software
		c.exchange(next, false)
		r = next
	}
}

// checkSoftware reports a stream with events of two software versions, in one response or over its caller's
// attempts.
func (c *caller) checkSoftware(r *request, software string) {
	if r.software == "" {
		r.software = software
	}
	if r.software != software {
		c.h.reportViolation("versions", "request %s got event %d from version %s, the stream began at %s", r.id, r.after+1, software, r.software)
		r.software = software
	}
}
