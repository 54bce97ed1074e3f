package main

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
)

// cutFromInstances partitions a member from all instances but some, with resets.
func (r *rig) cutFromInstances(m *member, but ...*instance) {
	var reached []int
	for _, i := range but {
		reached = append(reached, i.process.Process.Pid)
	}
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.isCut = func(pid int) bool { return !slices.Contains(reached, pid) }
	for _, s := range m.sessions {
		if m.isCut(s.pid) {
			reset(s.conn)
		}
	}
	r.add("member "+m.id, "is cut off from all instances but %d", len(but))
}

// addSession adds a session, or returns false if its instance is cut off from the member.
func (m *member) addSession(s *memberSession) bool {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if m.isCut != nil && m.isCut(s.pid) {
		return false
	}
	m.sessions = append(m.sessions, s)
	return true
}

// ownerOf returns the process, among those of the instances, that has the other end of a
// connection; zero if none has.
func (r *rig) ownerOf(remote net.Addr) int {
	inode := socketInode(remote)
	if inode == "" {
		return 0
	}
	want := "socket:[" + inode + "]"
	for _, i := range r.instances {
		if i.process == nil {
			continue
		}
		pid := i.process.Process.Pid
		dir := fmt.Sprintf("/proc/%d/fd", pid)
		entries, _ := os.ReadDir(dir)
		for _, e := range entries {
			if target, err := os.Readlink(dir + "/" + e.Name()); err == nil && target == want {
				return pid
			}
		}
	}
	return 0
}

// socketInode returns the inode of the socket that has a local address.
func socketInode(local net.Addr) string {
	t, ok := local.(*net.TCPAddr)
	if !ok {
		return ""
	}
	ip := slices.Clone(t.IP.To4())
	slices.Reverse(ip)
	want := fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(ip)), t.Port)
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == want {
			return fields[9]
		}
	}
	return ""
}
