from honeywood.system.lean import run

run("honeywood.system.bourse.program", "Bourse")
