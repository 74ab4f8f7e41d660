# Traces of what this front was asked, decided and why: docs/operate/trace.md
trace {
  folder      = "traces"
  most_bytes  = "1GB"
  longest_age = "14d"
}
